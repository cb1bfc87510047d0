//! Snapshots, sent in bounded pieces to replicas that need entries which the leader has
//! dropped. The receiver replies with the offset that it wants next, so a lost, duplicated
//! or late piece only costs a retransmission.

use std::sync::Arc;

use almondlock_base::time::Mono;

use super::{Machine, progress::Mode};
use crate::{
    entry::{Index, Snapshot},
    member::Id,
    message::{AppendReply, Body, Piece, PieceReply},
};

/// A snapshot that is being received: its first piece, and the data received so far.
#[derive(Debug)]
pub(super) struct Incoming {
    head: Piece,
    data: Vec<u8>,
}

impl Machine {
    pub(super) fn start_snapshot(&mut self, now: Mono, id: Id) {
        let snapshot = Arc::clone(self.log.snapshot());
        if let Some(peer) = self.progress(id) {
            peer.mode = Mode::Snapshot {
                snapshot,
                offset: 0,
                sent: now,
            };
        }
        self.send_piece(now, id);
    }

    pub(super) fn send_piece(&mut self, now: Mono, id: Id) {
        let limit = self.config.piece_bytes;
        let Some(peer) = self.progress(id) else {
            return;
        };
        let Mode::Snapshot {
            snapshot,
            offset,
            sent,
        } = &mut peer.mode
        else {
            return;
        };
        *sent = now;
        let start = usize::try_from(*offset).unwrap_or(usize::MAX);
        let rest = snapshot.data.get(start..).unwrap_or_default();
        let piece = Piece {
            last_index: snapshot.index,
            last_term: snapshot.term,
            members: Arc::clone(&snapshot.members),
            offset: *offset,
            total: snapshot.data.len() as u64,
            data: rest[..rest.len().min(limit)].to_vec(),
        };
        self.send(id, Body::Piece(piece));
    }

    pub(super) fn on_piece_reply(&mut self, now: Mono, from: Id, reply: PieceReply) {
        let Some(peer) = self.progress(from) else {
            return;
        };
        peer.heard = Some(now);
        peer.advanced = Some(now);
        let Mode::Snapshot {
            snapshot, offset, ..
        } = &mut peer.mode
        else {
            return;
        };
        if reply.last_index != snapshot.index {
            return;
        }
        if reply.done {
            let index = snapshot.index;
            peer.matched = peer.matched.max(index);
            peer.probe(index.next());
            self.advance_commit(now);
            self.replicate(now, from);
        } else if *offset != reply.offset {
            *offset = reply.offset.min(snapshot.data.len() as u64);
            self.send_piece(now, from);
        }
    }

    pub(super) fn on_piece(&mut self, now: Mono, from: Id, piece: Piece) {
        if self.is_leader() {
            return;
        }
        self.hear_leader(now, from);
        if piece.last_index <= self.commit {
            // This replica holds everything that the snapshot covers.
            let reply = AppendReply {
                matched: true,
                index: self.commit,
                round: 0,
            };
            self.send_synced(from, Body::AppendReply(reply));
            return;
        }
        let last_index = piece.last_index;
        let whole = self.collect_piece(piece);
        let (offset, done) = match whole {
            Err(offset) => (offset, false),
            Ok(snapshot) => {
                let total = snapshot.data.len() as u64;
                self.install(Arc::new(snapshot));
                (total, true)
            }
        };
        let reply = PieceReply {
            last_index,
            offset,
            done,
        };
        self.send_synced(from, Body::PieceReply(reply));
    }

    /// Adds a piece. Returns the snapshot once complete, otherwise the offset wanted next as `Err`.
    fn collect_piece(&mut self, piece: Piece) -> Result<Snapshot, u64> {
        let same = |old: &Incoming| {
            (old.head.last_index, old.head.last_term) == (piece.last_index, piece.last_term)
        };
        let incoming = match self.incoming.take().filter(same) {
            Some(mut old) if piece.offset == old.data.len() as u64 => {
                old.data.extend_from_slice(&piece.data);
                old
            }
            Some(old) => old,
            None if piece.offset == 0 => Incoming {
                data: piece.data.clone(),
                head: piece,
            },
            None => return Err(0),
        };
        let have = incoming.data.len() as u64;
        if have < incoming.head.total {
            self.incoming = Some(incoming);
            return Err(have);
        }
        Ok(Snapshot {
            index: incoming.head.last_index,
            term: incoming.head.last_term,
            members: incoming.head.members,
            data: Arc::from(incoming.data),
        })
    }

    fn install(&mut self, snapshot: Arc<Snapshot>) {
        let index = snapshot.index;
        let kept = self.log.install(Arc::clone(&snapshot));
        if !kept {
            // Nothing counts as synced until the snapshot is.
            self.durable = Index::ZERO;
        }
        self.commit = index;
        self.delivered = index;
        self.output.install(snapshot, kept);
    }
}
