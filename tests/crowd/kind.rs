//! The kinds of clients that don't behave.

use std::{io, sync::Arc, time::Duration};

use almondlock_platform::counterpart;
use rand::Rng;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use super::{
    Client,
    wire::{read_answer, write_pieces},
};

/// The largest body that is allowed.
pub const LARGEST: usize = 4 << 20;
/// Nearly the largest head that is allowed.
const HEAD: usize = 16_000;
/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Chunks are written this many at a time.
const BATCH: usize = 512;

/// How a client misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Bodies of the largest size, in one piece, one after the other.
    Whole,
    /// Small bodies, each on a connection of its own.
    Small,
    /// Bodies of the largest size without their last byte.
    Unended,
    /// Bodies of the largest size in pieces of this many bytes.
    Pieces(usize),
    /// Bodies in chunks of this many bytes that never end.
    Chunks(usize),
    /// Bodies of 16 times the largest size, announced.
    Oversized,
    /// Bodies in large chunks, far over the limit.
    Endless,
    /// Heads of the largest size made of short fields.
    Fields,
    /// Bodies of this many bytes made of short fields, one after the other.
    ManyFields(usize),
    /// Heads of nearly the largest size without their end.
    OpenHead,
    /// Requests with ids as long as a head may be, each after the last answer.
    LongIds,
    /// This many requests ahead, whose answers aren't read.
    Ahead(usize),
    /// A byte a second, head first.
    Trickle,
    /// Nothing at all.
    Silent,
    /// Stops in the middle of a body and closes.
    Halfway,
    /// Reads answers a byte at a time.
    SlowReader,
    /// Sends a small body and doesn't read the answer.
    Deaf,
}

impl Kind {
    /// Plays one connection.
    pub async fn play(self, client: &mut Client) -> io::Result<()> {
        match self {
            Kind::Whole => whole(client).await,
            Kind::ManyFields(size) => many_fields(client, size).await,
            Kind::Small => small(client).await,
            Kind::Unended => unended(client).await,
            Kind::Pieces(size) => pieces(client, size).await,
            Kind::Chunks(size) => chunks(client, size).await,
            Kind::Oversized => oversized(client).await,
            Kind::Endless => chunks(client, 64 * 1024).await,
            Kind::Fields => fields(client).await,
            Kind::OpenHead => open_head(client).await,
            Kind::LongIds => long_ids(client).await,
            Kind::Ahead(count) => ahead(client, count).await,
            Kind::Trickle => trickle(client).await,
            Kind::Silent => silent(client).await,
            Kind::Halfway => halfway(client).await,
            Kind::SlowReader => slow_reader(client).await,
            Kind::Deaf => deaf(client).await,
        }
    }
}

/// Notes the answer to a request; whether the connection can be used again.
async fn note_answer(client: &Client, number: usize, stream: &mut TcpStream) -> bool {
    let answer = timeout(PATIENCE, read_answer(stream)).await.ok().flatten();
    client.note(number, answer.as_ref().map_or(0, |answer| answer.status));
    answer.is_some_and(|answer| answer.is_kept())
}

async fn whole(client: &mut Client) -> io::Result<()> {
    let bodies = |client: &Client, number| client.door.body(number, LARGEST);
    one_by_one(client, bodies).await
}

async fn many_fields(client: &mut Client, size: usize) -> io::Result<()> {
    let body = client.door.many_fields(size);
    one_by_one(client, |_, _| body.clone()).await
}

/// Sends bodies, each after the last answer.
async fn one_by_one<F>(client: &mut Client, bodies: F) -> io::Result<()>
where
    F: Fn(&Client, usize) -> Vec<u8>,
{
    let mut stream = client.door.connect().await?;
    loop {
        let number = client.number();
        let body = bodies(client, number);
        let head = client.door.sized(number, body.len());
        let (reads, mut writes) = stream.split();
        // An early answer ends the request; what is left isn't sent.
        let sent = async {
            writes.write_all(head.as_bytes()).await?;
            writes.write_all(&body).await
        };
        let sent = tokio::select! {
            biased;
            sent = sent => sent,
            _ = reads.readable() => Err(io::ErrorKind::BrokenPipe.into()),
        };
        let kept = note_answer(client, number, &mut stream).await;
        sent?;
        if !kept {
            return Ok(());
        }
    }
}

async fn deaf(client: &mut Client) -> io::Result<()> {
    // Spread, so that the answers of most of them find memory.
    let pause = client.rng.random_range(0..3_000);
    sleep(Duration::from_millis(pause)).await;
    let mut stream = client.door.connect_deaf().await?;
    let number = client.number();
    let body = client.door.body(number, 100);
    let head = client.door.sized(number, body.len());
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&body).await?;
    std::future::pending().await
}

async fn small(client: &mut Client) -> io::Result<()> {
    let mut stream = client.door.connect().await?;
    let number = client.number();
    let body = client.door.body(number, 100);
    let head = client.door.sized(number, body.len());
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&body).await?;
    note_answer(client, number, &mut stream).await;
    Ok(())
}

async fn unended(client: &mut Client) -> io::Result<()> {
    let mut stream = client.door.connect().await?;
    let number = client.number();
    let body = client.door.body(number, LARGEST);
    let head = client.door.sized(number, body.len());
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&body[..body.len() - 1]).await?;
    await_end(&mut stream).await
}

async fn pieces(client: &mut Client, size: usize) -> io::Result<()> {
    let mut stream = client.door.connect().await?;
    let number = client.number();
    let body = client.door.body(number, LARGEST);
    let head = client.door.sized(number, body.len());
    stream.write_all(head.as_bytes()).await?;
    write_pieces(&mut stream, (Arc::from(body), size), false).await?;
    note_answer(client, number, &mut stream).await;
    Ok(())
}

async fn chunks(client: &mut Client, size: usize) -> io::Result<()> {
    let mut stream = client.door.connect().await?;
    let head = client.door.head(client.door.method, client.number());
    let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let count = (64 * 1024 / chunk.len()).clamp(1, BATCH);
    let batch = chunk.repeat(count);
    loop {
        stream.write_all(batch.as_bytes()).await?;
    }
}

async fn oversized(client: &mut Client) -> io::Result<()> {
    let mut stream = client.door.connect().await?;
    let number = client.number();
    let head = client.door.sized(number, 16 * LARGEST);
    stream.write_all(head.as_bytes()).await?;
    let piece = vec![b'x'; 64 * 1024];
    for _ in 0..16 * LARGEST / piece.len() {
        stream.write_all(&piece).await?;
    }
    note_answer(client, number, &mut stream).await;
    Ok(())
}

async fn fields(client: &mut Client) -> io::Result<()> {
    let mut stream = client.door.connect().await?;
    let number = client.number();
    let mut head = client.door.head("GET", number);
    for n in 0.. {
        let field = format!("f{n:x}: 1\r\n");
        if head.len() + field.len() > HEAD {
            break;
        }
        head += &field;
    }
    stream.write_all((head + "\r\n").as_bytes()).await?;
    note_answer(client, number, &mut stream).await;
    Ok(())
}

async fn long_ids(client: &mut Client) -> io::Result<()> {
    let mut stream = client.door.connect().await?;
    let id = "i".repeat(30_000);
    loop {
        let number = client.number();
        let head = client.door.head("GET", number);
        let head = format!("{head}{}: {id}\r\n\r\n", counterpart::REQUEST_ID);
        stream.write_all(head.as_bytes()).await?;
        if !note_answer(client, number, &mut stream).await {
            return Ok(());
        }
    }
}

async fn open_head(client: &mut Client) -> io::Result<()> {
    let mut stream = client.door.connect().await?;
    let mut head = client.door.head("GET", client.number());
    for n in 0..15 {
        head += &format!("f{n:x}: {}\r\n", "x".repeat(1_000));
    }
    stream.write_all(head.as_bytes()).await?;
    await_end(&mut stream).await
}

async fn ahead(client: &mut Client, count: usize) -> io::Result<()> {
    let mut stream = client.door.connect_deaf().await?;
    for _ in 0..count {
        let head = client.door.head("GET", client.number());
        stream.write_all((head + "\r\n").as_bytes()).await?;
    }
    std::future::pending().await
}

async fn trickle(client: &mut Client) -> io::Result<()> {
    let mut stream = client.door.connect().await?;
    let number = client.number();
    let mut bytes = client.door.sized(number, LARGEST).into_bytes();
    // Some of them get as far as the body.
    if client.rng.random() {
        stream.write_all(&bytes).await?;
        bytes = client.door.body(number, LARGEST);
    }
    for byte in bytes {
        stream.write_all(&[byte]).await?;
        sleep(Duration::from_secs(1)).await;
    }
    Ok(())
}

async fn silent(client: &mut Client) -> io::Result<()> {
    let mut stream = client.door.connect().await?;
    await_end(&mut stream).await
}

async fn halfway(client: &mut Client) -> io::Result<()> {
    let mut stream = client.door.connect().await?;
    let number = client.number();
    let head = client.door.sized(number, LARGEST);
    stream.write_all(head.as_bytes()).await?;
    let length = client.rng.random_range(1..LARGEST);
    let body = client.door.body(number, length);
    stream.write_all(&body).await?;
    let pause = client.rng.random_range(0..1_000);
    sleep(Duration::from_millis(pause)).await;
    Ok(())
}

async fn slow_reader(client: &mut Client) -> io::Result<()> {
    let mut stream = client.door.connect_deaf().await?;
    loop {
        let head = client.door.head("GET", client.number());
        stream.write_all((head + "\r\n").as_bytes()).await?;
        let mut byte = [0];
        stream.read_exact(&mut byte).await?;
        sleep(Duration::from_millis(200)).await;
    }
}

/// Waits until the other side closes.
async fn await_end(stream: &mut TcpStream) -> io::Result<()> {
    let mut piece = [0; 1024];
    while stream.read(&mut piece).await? > 0 {}
    Ok(())
}
