@0xd7c1f0a94be3a615;
# The protocol between almondlock's own processes. The Rust code in
# src/generated is made from this file; the crate's README gives the command.
# Fields are only ever added, never re-used: two adjacent versions talk.

struct Peer {
  # Who speaks. Sent with each exchange, so that revisions spread with traffic.
  host @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt16;
  revision @3 :UInt64;
}

struct AttemptId {
  host @0 :Text;
  incarnation @1 :UInt64;
  counter @2 :UInt64;
}

enum Ran {
  no @0;
  yes @1;
  unknown @2;
}

struct Head {
  # One attempt of one request, without its body.
  attempt @0 :AttemptId;
  target @1 :UInt64;          # incarnation of the sidecar it is meant for
  request @2 :Text;           # request id, for logs
  traceparent @3 :Text;
  organisation @4 :Text;
  model @5 :Text;             # empty for a plain service
  adapter @6 :Text;
  service @7 :Text;           # empty for a model request
  method @8 :Text;            # HTTP method
  path @9 :Text;              # HTTP path and query
  contentType @10 :Text;
  promptTokens @11 :UInt64;   # estimate
  outputTokens @12 :UInt64;   # upper bound asked for
  budgetMicros @13 :UInt64;   # time left until the deadline, at sending
  weight @14 :UInt32;         # the organisation's share
  repeatable @15 :Bool;
  stream @16 :Bool;
  suspect @17 :Bool;          # must not run beside another suspect
  resumeAt @18 :UInt64;       # offset in answer tokens to go on from
  fingerprint @19 :Data;      # of organisation and body
  prefix @20 :List(UInt64);   # hashes of the prompt's leading blocks
  bodyLength @21 :UInt64;     # bytes in all
  body @22 :Data;             # the whole body when small, else empty
  from @23 :Peer;
  leaseMicros @24 :UInt64;    # how long the attempt's memory outlives silence
  segments @25 :List(Segment); # parts of the prompt held by other engines
}

struct Segment {
  # A part of a prompt larger than an engine, processed and held on one.
  address @0 :Text;           # the engine's own address
  handle @1 :Text;            # the engine's name for it
}

struct Part {
  # What is asked of one member for a prompt larger than an engine.
  attempt @0 :AttemptId;
  target @1 :UInt64;          # incarnation of the sidecar it is meant for
  organisation @2 :Text;
  tokens @3 :UInt64;          # engine memory
  budgetMicros @4 :UInt64;
  leaseMicros @5 :UInt64;
  offset @6 :UInt64;          # of the part's text in the body, in bytes
  length @7 :UInt64;          # of that text; 0 when the engine is told a length only
  fingerprint @8 :Data;
  from @9 :Peer;
}

struct Frame {
  # A part of an answer.
  attempt @0 :AttemptId;
  offset @1 :UInt64;          # tokens (or bytes, for a service) before this part
  union {
    begin @2 :Begin;
    text @3 :Text;            # answer text of `count` tokens
    bytes @4 :Data;           # a plain service's body
    end @5 :Usage;
  }
  count @6 :UInt32;
}

struct Begin {
  status @0 :UInt16;
  contentType @1 :Text;
}

struct Usage {
  promptTokens @0 :UInt64;
  cachedTokens @1 :UInt64;
  outputTokens @2 :UInt64;
  finish @3 :Text;
}

struct Outcome {
  # How an attempt ended. code 0 means whole.
  code @0 :UInt16;
  ran @1 :Ran;
  message @2 :Text;
  retryAfterMillis @3 :UInt64;
  queueMicros @4 :UInt64;
  load @5 :Load;
  from @6 :Peer;
  died @7 :Bool;              # the engine died while this attempt ran there
  beside @8 :List(Data);      # fingerprints that ran there at that moment
}

struct Load {
  # What a sidecar tells of its upstream.
  running @0 :UInt32;
  queued @1 :UInt32;
  queuedTokens @2 :UInt64;    # prompt tokens not yet prefilled, queued or running
  freeTokens @3 :UInt64;      # engine memory left, in tokens
  capacityTokens @4 :UInt64;
  waitMicros @5 :UInt64;      # estimate for a short request that came now
  leaving @6 :Bool;
  cached @7 :UInt32;          # of the prefix hashes asked about, how many lead
  tokensPerSecond @8 :UInt64; # observed prefill speed
}

interface Node {
  # What a connection starts with, on every process.
  hello @0 (from :Peer) -> (from :Peer);
  sidecar @1 (upstream :Text) -> (sidecar :Sidecar);
  spread @2 () -> (spread :Spread);
  control @3 () -> (control :Control);
}

interface Source {
  # The entry's side of a body too large to travel with its head.
  read @0 (offset :UInt64, limit :UInt32) -> (chunk :Data);
}

interface Sink {
  # The entry's side of an answer.
  push @0 (frames :List(Frame)) -> ();
}

interface Sidecar {
  submit @0 (head :Head, source :Source, sink :Sink) -> (outcome :Outcome);
  settle @1 (attempt :AttemptId, target :UInt64, from :Peer) -> (ran :Ran, from :Peer);
  # Leaves a tombstone for the attempt, cancels it, and says whether it ran.
  probe @2 (prefix :List(UInt64), model :Text, from :Peer) -> (load :Load, from :Peer);
  renew @3 (owner :Text, incarnation :UInt64, from :Peer) -> (from :Peer);
  # Extends the leases of all that the owner holds here.
  reserve @4 (part :Part) -> (outcome :Outcome);
  # Engine memory for a part of a prompt larger than an engine; waits until
  # there is room. Held until released or until its lease ends.
  release @5 (attempt :AttemptId, from :Peer) -> (from :Peer);
  process @6 (part :Part, source :Source) -> (outcome :Outcome, segment :Segment);
  # Processes a reserved part and keeps it.
}

struct Report {
  # What a process tells its parent of itself and of all below it.
  from @0 :Peer;
  lowest @1 :UInt64;          # lowest revision in force in the subtree
  processes @2 :UInt32;       # how many processes the subtree has
  laggards @3 :List(Peer);    # the furthest behind, a bounded number
  joined @4 :List(Text);      # processes that appeared below, since the last report
  left @5 :List(Text);
}

struct Delta {
  # Changes from one revision to another, or a piece of a snapshot.
  union {
    none @0 :Void;
    changes @1 :List(Data);   # JSON state::config::Change, oldest first
    piece @2 :Piece;
  }
  first @3 :UInt64;           # revision of the first change
  newest @4 :UInt64;          # newest revision known to the sender
  parents @5 :List(Text);     # addresses to try instead, best first
  from @6 :Peer;
}

struct Piece {
  revision @0 :UInt64;
  offset @1 :UInt64;
  total @2 :UInt64;
  data @3 :Data;
}

interface Spread {
  # Served by every process that others fetch configuration from.
  fetch @0 (have :UInt64, offset :UInt64, revision :UInt64, report :Report, waitMicros :UInt64) -> (delta :Delta);
  # Returns at once when there is news, else when the wait is over. A non-zero
  # offset goes on with the snapshot of the revision given.
}

struct Status {
  # A reply of the control replicas.
  code @0 :UInt16;
  message @1 :Text;
  leader @2 :Text;            # address of the leader, when known and not the speaker
  retryAfterMillis @3 :UInt64;
}

enum Claimed {
  granted @0;                 # the caller may run it, and nobody else ever
  running @1;                 # another holder has it
  done @2;                    # it ended; the outcome is given
  lost @3;                    # its holder died; it may have run
  mismatch @4;                # the same key with another body
  refused @5;                 # the table is full, or the state can't be reached
}

interface Control {
  announce @0 (upstream :Data, from :Peer) -> (status :Status, revision :UInt64);
  # JSON [name, state::config::Registration]. Returns once registered.
  claim @1 (organisation :Text, key :Text, body :Data, holder :AttemptId, keepMillis :UInt64, from :Peer) -> (status :Status, claimed :Claimed, outcome :Data);
  settleClaim @2 (organisation :Text, key :Text, holder :AttemptId, ran :Ran, outcome :Data, from :Peer) -> (status :Status);
  # Gives the outcome of a granted claim. ran = no frees the claim.
  blame @3 (fingerprint :Data, organisation :Text, upstream :Text, incarnation :UInt64, from :Peer) -> (status :Status, revision :UInt64);
  # An engine died while the fingerprint ran there. The revision is the one in
  # which the suspicion stands.
  clear @4 (fingerprint :Data, organisation :Text, from :Peer, upstream :Text, incarnation :UInt64, harmless :Bool) -> (status :Status);
  # A suspect's charged run ended with the upstream alive. Harmless: it finished
  # well, and the suspicion goes with the charge.
  charge @6 (fingerprint :Data, organisation :Text, upstream :Text, incarnation :UInt64, from :Peer) -> (status :Status, revision :UInt64);
  # A suspect is about to run: the death it may cause is entered in advance.
  raft @5 (group :UInt16, from :UInt64, message :RaftMessage) -> ();
}

struct RaftEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;             # 0 command, 1 empty, 2 membership
  data @3 :Data;
}

struct RaftMessage {
  term @0 :UInt64;
  union {
    voteRequest @1 :VoteRequest;
    voteReply @2 :VoteReply;
    append @3 :Append;
    appendReply @4 :AppendReply;
    snapshot @5 :Snapshot;
    snapshotReply @6 :SnapshotReply;
    timeoutNow @7 :Void;
  }
}

struct VoteRequest {
  pre @0 :Bool;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
}

struct VoteReply {
  pre @0 :Bool;
  granted @1 :Bool;
}

struct Append {
  previousIndex @0 :UInt64;
  previousTerm @1 :UInt64;
  commit @2 :UInt64;
  round @3 :UInt64;           # for reads: the heartbeat round
  entries @4 :List(RaftEntry);
}

struct AppendReply {
  matched @0 :Bool;
  index @1 :UInt64;           # last matched, or where to try next
  round @2 :UInt64;
}

struct Snapshot {
  lastIndex @0 :UInt64;
  lastTerm @1 :UInt64;
  members @2 :Data;
  offset @3 :UInt64;
  total @4 :UInt64;
  data @5 :Data;
}

struct SnapshotReply {
  lastIndex @0 :UInt64;
  offset @1 :UInt64;
  done @2 :Bool;
}
