//! HTTP/1.1 messages over a buffer, by `httparse`.
use thiserror::Error;

/// Longest request body.
pub const MAX_BODY: usize = 64 * 1024;
/// Longest request body on the guest's address: a job file as JSON text.
pub const MAX_EXTENSION_BODY_BYTES: usize = 1 << 20;
/// Longest head of a message.
pub const MAX_HEAD: usize = 16 * 1024;
/// Longest body of an answer that this node reads.
const MAX_ANSWER: usize = 32 << 20;

/// A request's head.
#[derive(Debug, PartialEq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Bytes of the head.
    pub head_len: usize,
    /// Bytes of the body.
    pub body_len: usize,
    /// The connection stays open.
    pub keep_alive: bool,
    /// The client waits for `100 Continue`.
    pub expects_continue: bool,
    /// `X-Nomad-Token`, or the token of `Authorization: Bearer`.
    pub token: Option<String>,
}

/// Why a request was refused; the connection is closed after it.
#[derive(Debug, Error, PartialEq)]
pub enum BadRequest {
    /// Not HTTP.
    #[error("broken HTTP")]
    Broken,
    /// Body over the limit.
    #[error("the body is longer than this address takes")]
    TooLong,
    /// A body without a length.
    #[error("a body needs Content-Length")]
    NoLength,
}

impl BadRequest {
    /// Its status.
    pub fn status(&self) -> u16 {
        match self {
            BadRequest::Broken => 400,
            BadRequest::TooLong => 413,
            BadRequest::NoLength => 411,
        }
    }
}

/// Reads a request's head; `None` if more is needed. `longest` is the longest
/// body that is taken.
pub fn parse_request_head(buf: &[u8], longest: usize) -> Result<Option<RequestHead>, BadRequest> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut req = httparse::Request::new(&mut headers);
    let head = match req.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD => return Ok(None),
        _ => return Err(BadRequest::Broken),
    };
    let mut body: Option<usize> = None;
    let mut keep = req.version == Some(1);
    let mut expects = false;
    let mut token = None;
    for h in req.headers.iter() {
        let value = std::str::from_utf8(h.value).map_err(|_| BadRequest::Broken)?.trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            if !value.bytes().all(|b| b.is_ascii_digit()) || value.is_empty() {
                return Err(BadRequest::Broken);
            }
            let n = value.parse().unwrap_or(usize::MAX);
            if body.is_some_and(|b| b != n) {
                return Err(BadRequest::Broken);
            }
            body = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(BadRequest::NoLength);
        } else if h.name.eq_ignore_ascii_case("connection") {
            if value.eq_ignore_ascii_case("close") {
                keep = false;
            } else if value.eq_ignore_ascii_case("keep-alive") {
                keep = true;
            }
        } else if h.name.eq_ignore_ascii_case("expect") {
            expects = value.eq_ignore_ascii_case("100-continue");
        } else if h.name.eq_ignore_ascii_case("x-nomad-token") && !value.is_empty() {
            token = Some(value.to_owned());
        } else if h.name.eq_ignore_ascii_case("authorization")
            && let Some((scheme, rest)) = value.split_once(' ')
            && scheme.eq_ignore_ascii_case("bearer")
            && token.is_none()
        {
            token = Some(rest.trim().to_owned());
        }
    }
    let body = body.unwrap_or(0);
    if body > longest {
        return Err(BadRequest::TooLong);
    }
    Ok(Some(RequestHead {
        method: req.method.unwrap_or("").to_owned(),
        path: req.path.unwrap_or("").to_owned(),
        head_len: head,
        body_len: body,
        keep_alive: keep,
        expects_continue: expects,
        token,
    }))
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        403 => "Forbidden",
        409 => "Conflict",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Error",
    }
}

/// Writes an answer.
pub fn encode_response(status: u16, body: &[u8], retry_after: Option<u32>, keep: bool) -> Vec<u8> {
    let retry = retry_after.map(|s| ("Retry-After", s.to_string()));
    answer_with(status, retry.as_slice(), body, keep)
}

/// Writes an answer with further headers.
pub fn answer_with(status: u16, headers: &[(&'static str, String)], body: &[u8], keep: bool) -> Vec<u8> {
    let mut out = head(status, headers);
    out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    if !keep {
        out.push_str("Connection: close\r\n");
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

fn head(status: u16, headers: &[(&'static str, String)]) -> String {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    if !headers.iter().any(|(n, _)| *n == "Content-Type") {
        out.push_str("Content-Type: application/json\r\n");
    }
    for (name, value) in headers {
        // No value of ours has a line's end in it; one that had would be another header.
        let value: String = value.chars().filter(|c| !c.is_control()).collect();
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out
}

/// Writes the head of an answer that goes on in chunks.
pub fn chunked_head(status: u16, headers: &[(&'static str, String)]) -> Vec<u8> {
    format!("{}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n", head(status, headers)).into_bytes()
}

/// Writes a chunk; an empty one is the end.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", data.len()).into_bytes();
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    out
}

/// How an answer's body ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BodyFraming {
    /// After so many bytes.
    Length(usize),
    /// Chunked.
    Chunked,
    /// With the connection.
    UntilClose,
}

/// An answer's head.
#[derive(Debug, PartialEq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Bytes of the head.
    pub head_len: usize,
    /// The body.
    pub framing: BodyFraming,
    /// The connection stays open.
    pub keep_alive: bool,
}

/// Reads an answer's head; `Err` if it is not HTTP.
pub fn parse_response_head(buf: &[u8]) -> Result<Option<ResponseHead>, BadRequest> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut res = httparse::Response::new(&mut headers);
    let head = match res.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD => return Ok(None),
        _ => return Err(BadRequest::Broken),
    };
    let status = res.code.unwrap_or(0);
    let mut body =
        if status == 204 || status < 200 { BodyFraming::Length(0) } else { BodyFraming::UntilClose };
    let mut keep = res.version == Some(1);
    for h in res.headers.iter() {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            let n: usize = value.parse().map_err(|_| BadRequest::Broken)?;
            if n > MAX_ANSWER {
                return Err(BadRequest::TooLong);
            }
            body = BodyFraming::Length(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            body = BodyFraming::Chunked;
        } else if h.name.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close") {
            keep = false;
        }
    }
    keep &= body != BodyFraming::UntilClose;
    Ok(Some(ResponseHead { status, head_len: head, framing: body, keep_alive: keep }))
}

/// Takes a chunked body apart; `None` if more is needed, else the body and
/// the bytes it took.
pub fn chunked(buf: &[u8]) -> Result<Option<(Vec<u8>, usize)>, BadRequest> {
    let (mut at, mut out) = (0, Vec::new());
    loop {
        match httparse::parse_chunk_size(&buf[at..]) {
            Ok(httparse::Status::Complete((head, size))) => {
                let size = size as usize;
                if out.len() + size > MAX_ANSWER {
                    return Err(BadRequest::TooLong);
                }
                let end = at + head + size;
                if buf.len() < end + 2 {
                    return Ok(None);
                }
                out.extend_from_slice(&buf[at + head..end]);
                at = end + 2;
                if size == 0 {
                    return Ok(Some((out, at)));
                }
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(BadRequest::Broken),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn request_heads() {
        // (text, status of the refusal or None, (body, keep))
        let cases: [(&str, Option<u16>, Option<(usize, bool)>); 11] = [
            ("GET /ready HTTP/1.1\r\n\r\n", None, Some((0, true))),
            ("GET /ready HTTP/1.0\r\n\r\n", None, Some((0, false))),
            ("POST /x HTTP/1.1\r\nContent-Length: 5\r\nConnection: close\r\n\r\n", None, Some((5, false))),
            ("GET /ready HT", None, None),
            ("nonsense\r\n\r\n", Some(400), None),
            ("\x00\x01\x02", Some(400), None),
            ("POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Some(400), None),
            ("POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", Some(400), None),
            ("POST /x HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", Some(413), None),
            ("POST /x HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", Some(413), None),
            ("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", Some(411), None),
        ];
        for (text, status, want) in cases {
            match parse_request_head(text.as_bytes(), MAX_BODY) {
                Ok(h) => {
                    assert_eq!((None, h.map(|h| (h.body_len, h.keep_alive))), (status, want), "{text:?}")
                }
                Err(e) => assert_eq!(Some(e.status()), status, "{text:?}"),
            }
        }
        assert_eq!(parse_request_head(&vec![b'a'; MAX_HEAD], MAX_BODY), Err(BadRequest::Broken));
    }

    #[test]
    fn tokens_are_read_and_headers_hold_one_line() {
        let cases = [
            ("X-Nomad-Token: abc", Some("abc")),
            ("x-nomad-token:  abc ", Some("abc")),
            ("Authorization: Bearer abc", Some("abc")),
            ("Authorization: Basic abc", None),
            ("X-Nomad-Token: ", None),
            ("X-Other: abc", None),
        ];
        for (line, want) in cases {
            let text = format!("GET / HTTP/1.1\r\n{line}\r\n\r\n");
            let h = parse_request_head(text.as_bytes(), 0).unwrap().unwrap();
            assert_eq!(h.token.as_deref(), want, "{line}");
        }
        let a = answer_with(200, &[("X-A", "b\r\nX-Evil: c".into())], b"", true);
        assert_eq!(String::from_utf8(a).unwrap().matches("\r\n").count(), 5);
    }

    #[test]
    fn chunks_read_back() {
        let mut all = chunk(b"abc");
        all.extend(chunk(b""));
        assert_eq!(chunked(&all).unwrap(), Some((b"abc".to_vec(), all.len())));
    }

    #[test]
    fn answers() {
        let a = encode_response(503, b"{}", Some(1), false);
        let h = parse_response_head(&a).unwrap().unwrap();
        assert_eq!(
            (h.status, h.framing, h.keep_alive, a.len() - h.head_len),
            (503, BodyFraming::Length(2), false, 2)
        );
        let c = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        assert_eq!(chunked(c).unwrap(), Some((b"abcde".to_vec(), c.len())));
        assert_eq!(chunked(&c[..12]).unwrap(), None);
        assert!(chunked(b"zz\r\n").is_err());
    }
}
