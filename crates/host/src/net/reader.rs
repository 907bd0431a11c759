//! Reading of HTTP requests as their bytes arrive. Input is consumed at once, so that a connection
//! holds a body once, as far as it has arrived, and no byte is looked at twice.

use super::http::{HttpLimits, HttpRequest, MAX_HEADERS, closes_connection, owned_headers};

/// The result of reading a connection's input.
#[derive(Debug)]
pub enum Progress {
    /// The request is not complete yet.
    Incomplete,
    /// A request, and whether the connection closes after it.
    Complete(HttpRequest, bool),
    /// A request that is not accepted: status and reason for the response.
    Invalid(u16, &'static str),
}

/// What is done with a request's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyUse {
    /// It is kept and delivered with the request.
    Keep,
    /// It is dropped as it arrives; the request is delivered without it.
    Discard,
}

/// Reads the requests of one connection.
#[derive(Debug, Default)]
pub struct RequestReader {
    state: State,
}

#[derive(Debug, Default)]
enum State {
    #[default]
    Head,
    Body(Body),
}

/// A request whose head has arrived.
#[derive(Debug)]
struct Body {
    request: HttpRequest,
    closes: bool,
    usage: BodyUse,
    framing: Framing,
}

#[derive(Debug)]
enum Framing {
    /// Length of the whole body in bytes.
    Length(usize),
    Chunked(Chunked),
}

/// Position in a chunked body.
#[derive(Debug, Default)]
struct Chunked {
    part: ChunkPart,
    /// Bytes of the body so far, without framing.
    received: usize,
    /// Bytes of trailers so far.
    trailer_bytes: usize,
}

#[derive(Debug, Default)]
enum ChunkPart {
    #[default]
    Size,
    /// Bytes that are missing of the chunk.
    Data(usize),
    DataEnd,
    Trailers,
}

type Invalid = (u16, &'static str);

impl RequestReader {
    /// Reads as much of `input` as there is of one request and removes it. `body_use` decides from a
    /// request's head whether its body is kept.
    pub fn read<F>(&mut self, input: &mut Vec<u8>, limits: &HttpLimits, body_use: F) -> Progress
    where
        F: FnOnce(&HttpRequest) -> BodyUse,
    {
        if matches!(self.state, State::Head) {
            match read_head(input, limits, body_use) {
                Ok(Some(body)) => self.state = State::Body(body),
                Ok(None) => return Progress::Incomplete,
                Err((status, reason)) => return Progress::Invalid(status, reason),
            }
        }
        let State::Body(body) = &mut self.state else {
            return Progress::Incomplete;
        };
        match body.read(input, limits) {
            Ok(false) => Progress::Incomplete,
            Ok(true) => match std::mem::take(&mut self.state) {
                State::Body(body) => Progress::Complete(body.request, body.closes),
                State::Head => Progress::Incomplete,
            },
            Err((status, reason)) => Progress::Invalid(status, reason),
        }
    }

    /// Moves the first of these bytes to a body of known length; returns their number. All input
    /// that was received before must have been read.
    pub fn take_body(&mut self, bytes: &[u8]) -> usize {
        let State::Body(body) = &mut self.state else {
            return 0;
        };
        let Framing::Length(missing) = &mut body.framing else {
            return 0;
        };
        let len = bytes.len().min(*missing);
        *missing -= len;
        if body.usage == BodyUse::Keep {
            append(&mut body.request.body, &bytes[..len], *missing);
        }
        len
    }

    /// Returns whether a part of a request has been read.
    pub fn is_midway(&self) -> bool {
        matches!(self.state, State::Body(_))
    }

    /// Returns the request that is being read, once its head has arrived.
    pub fn head(&self) -> Option<&HttpRequest> {
        match &self.state {
            State::Body(body) => Some(&body.request),
            State::Head => None,
        }
    }

    /// Returns the memory in bytes that the request takes so far.
    pub fn held_bytes(&self) -> usize {
        match &self.state {
            State::Body(body) => body.request.held_bytes(),
            State::Head => 0,
        }
    }

    /// Drops what has been read of a request.
    pub fn clear(&mut self) {
        self.state = State::Head;
    }
}

/// Reads a head and removes it from `input`; `None` if it is incomplete.
fn read_head<F>(
    input: &mut Vec<u8>,
    limits: &HttpLimits,
    body_use: F,
) -> Result<Option<Body>, Invalid>
where
    F: FnOnce(&HttpRequest) -> BodyUse,
{
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let head = match req.parse(input) {
        Ok(httparse::Status::Complete(head)) if head <= limits.head_bytes => head,
        Ok(httparse::Status::Partial) if input.len() <= limits.head_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err((431, "the head is too long")),
        Err(_) => return Err((400, "the head cannot be read")),
    };
    let headers = owned_headers(req.headers);
    let closes = closes_connection(&headers, req.version);
    let request = HttpRequest {
        method: req.method.unwrap_or_default().into(),
        path: req.path.unwrap_or_default().into(),
        headers,
        body: Vec::new(),
    };
    input.drain(..head);
    let framing = framing(&request, limits.body_bytes)?;
    Ok(Some(Body {
        usage: body_use(&request),
        request,
        closes,
        framing,
    }))
}

/// Returns how the end of a request's body is found.
fn framing(request: &HttpRequest, max: usize) -> Result<Framing, Invalid> {
    let lengths = request
        .headers
        .iter()
        .filter(|(name, _)| name == "content-length");
    let mut lengths = lengths.map(|(_, value)| value.trim());
    let first = lengths.next();
    if request.header("transfer-encoding").is_some() {
        return match first {
            Some(_) => Err((400, "the body has a length and a transfer coding")),
            None => Ok(Framing::Chunked(Chunked::default())),
        };
    }
    let Some(first) = first else {
        return Ok(Framing::Length(0));
    };
    let is_number = first.bytes().all(|b| b.is_ascii_digit());
    let Some(len) = first.parse::<usize>().ok().filter(|_| is_number) else {
        return Err((400, "the body's length is no number"));
    };
    if lengths.any(|other| other != first) {
        return Err((400, "the body has two lengths"));
    }
    if len > max {
        return Err((413, "the body is too long"));
    }
    Ok(Framing::Length(len))
}

impl Body {
    /// Moves input to the body. Returns whether the request is complete.
    fn read(&mut self, input: &mut Vec<u8>, limits: &HttpLimits) -> Result<bool, Invalid> {
        let keep = self.usage == BodyUse::Keep;
        let body = &mut self.request.body;
        match &mut self.framing {
            Framing::Length(missing) => {
                let len = input.len().min(*missing);
                *missing -= len;
                if keep {
                    append(body, &input[..len], *missing);
                }
                input.drain(..len);
                Ok(*missing == 0)
            }
            Framing::Chunked(chunked) => {
                let mut at = 0;
                let end = chunked.read(input, &mut at, body, keep, limits);
                input.drain(..at);
                end
            }
        }
    }
}

/// Appends bytes to a body of which `missing` bytes follow. Makes room in proportion to what has
/// arrived, but not beyond the end.
fn append(body: &mut Vec<u8>, bytes: &[u8], missing: usize) {
    if body.capacity() - body.len() < bytes.len() {
        let ahead = (body.len() / 2).min(missing);
        body.reserve_exact(bytes.len() + ahead);
    }
    body.extend_from_slice(bytes);
}

impl Chunked {
    /// Moves chunks from `input`, from offset `at`, to the body. Returns whether the body is complete.
    fn read(
        &mut self,
        input: &[u8],
        at: &mut usize,
        body: &mut Vec<u8>,
        keep: bool,
        limits: &HttpLimits,
    ) -> Result<bool, Invalid> {
        loop {
            let rest = &input[*at..];
            match self.part {
                ChunkPart::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((skip, len))) => {
                        *at += skip;
                        self.begin_chunk(len, limits.body_bytes)?;
                    }
                    Ok(httparse::Status::Partial) if rest.len() <= limits.head_bytes => {
                        return Ok(false);
                    }
                    Ok(_) | Err(_) => return Err((400, "a chunk's size cannot be read")),
                },
                ChunkPart::Data(missing) => {
                    let len = rest.len().min(missing);
                    if keep {
                        body.extend_from_slice(&rest[..len]);
                    }
                    *at += len;
                    if len < missing {
                        self.part = ChunkPart::Data(missing - len);
                        return Ok(false);
                    }
                    self.part = ChunkPart::DataEnd;
                }
                ChunkPart::DataEnd => {
                    if rest.len() < 2 {
                        return Ok(false);
                    }
                    *at += 2;
                    self.part = ChunkPart::Size;
                }
                ChunkPart::Trailers => return self.skip_trailers(input, at, limits),
            }
        }
    }

    fn begin_chunk(&mut self, len: u64, max: usize) -> Result<(), Invalid> {
        let len = usize::try_from(len).unwrap_or(usize::MAX);
        self.received = self.received.saturating_add(len);
        if self.received > max {
            return Err((413, "the body is too long"));
        }
        self.part = match len {
            0 => ChunkPart::Trailers,
            len => ChunkPart::Data(len),
        };
        Ok(())
    }

    /// Skips trailers up to the empty line that ends them.
    fn skip_trailers(
        &mut self,
        input: &[u8],
        at: &mut usize,
        limits: &HttpLimits,
    ) -> Result<bool, Invalid> {
        while let Some(len) = input[*at..].windows(2).position(|w| w == b"\r\n") {
            *at += len + 2;
            self.trailer_bytes += len + 2;
            if len == 0 {
                return Ok(true);
            }
        }
        if self.trailer_bytes + input.len() - *at > limits.head_bytes {
            return Err((431, "the trailers are too long"));
        }
        Ok(false)
    }
}
