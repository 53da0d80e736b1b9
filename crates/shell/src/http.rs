//! Parsing and encoding of HTTP/1.1 messages in a buffer, with `httparse`.
use thiserror::Error;

/// Limit of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Limit of a request body on the extension's address, in bytes: a job file as JSON text.
pub const MAX_EXTENSION_BODY_BYTES: usize = 1 << 20;
/// Limit of the head of a message, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Limit of a response body that this controller reads, in bytes.
const MAX_RESPONSE_BODY_BYTES: usize = 32 << 20;

/// Head of a request.
#[derive(Debug, PartialEq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Length of the head in bytes.
    pub head_len: usize,
    /// Length of the body in bytes.
    pub body_len: usize,
    /// The connection stays open after the message.
    pub keep_alive: bool,
    /// The client waits for `100 Continue`.
    pub expects_continue: bool,
    /// `X-Nomad-Token`, or the token of `Authorization: Bearer`.
    pub token: Option<String>,
}

/// Why a message was rejected; the connection is closed after it.
#[derive(Debug, Error, PartialEq)]
pub enum HttpError {
    /// Not valid HTTP. The client also uses it for a connection that failed or ended early.
    #[error("broken HTTP")]
    Malformed,
    /// The body exceeds its limit.
    #[error("the body is longer than this address takes")]
    BodyTooLong,
    /// The body has no `Content-Length`.
    #[error("a body needs Content-Length")]
    LengthRequired,
}

impl HttpError {
    /// HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::BodyTooLong => 413,
            HttpError::LengthRequired => 411,
        }
    }
}

/// Parses a request head; `None` if it is incomplete. A body longer than `max_body_len`
/// bytes is an error.
pub fn parse_request_head(buf: &[u8], max_body_len: usize) -> Result<Option<RequestHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut req = httparse::Request::new(&mut headers);
    let head_len = match req.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(HttpError::Malformed),
    };
    let mut body_len: Option<usize> = None;
    let mut keep_alive = req.version == Some(1);
    let mut expects_continue = false;
    let mut token = None;
    for h in req.headers.iter() {
        let value = std::str::from_utf8(h.value).map_err(|_| HttpError::Malformed)?.trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            if !value.bytes().all(|b| b.is_ascii_digit()) || value.is_empty() {
                return Err(HttpError::Malformed);
            }
            let n = value.parse().unwrap_or(usize::MAX);
            if body_len.is_some_and(|b| b != n) {
                return Err(HttpError::Malformed);
            }
            body_len = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(HttpError::LengthRequired);
        } else if h.name.eq_ignore_ascii_case("connection") {
            if value.eq_ignore_ascii_case("close") {
                keep_alive = false;
            } else if value.eq_ignore_ascii_case("keep-alive") {
                keep_alive = true;
            }
        } else if h.name.eq_ignore_ascii_case("expect") {
            expects_continue = value.eq_ignore_ascii_case("100-continue");
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
    let body_len = body_len.unwrap_or(0);
    if body_len > max_body_len {
        return Err(HttpError::BodyTooLong);
    }
    Ok(Some(RequestHead {
        method: req.method.unwrap_or("").to_owned(),
        path: req.path.unwrap_or("").to_owned(),
        head_len,
        body_len,
        keep_alive,
        expects_continue,
        token,
    }))
}

fn reason_phrase(status: u16) -> &'static str {
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

/// Encodes a response.
pub fn encode_response(status: u16, body: &[u8], retry_after: Option<u32>, keep_alive: bool) -> Vec<u8> {
    let retry = retry_after.map(|s| ("Retry-After", s.to_string()));
    encode_response_with_headers(status, retry.as_slice(), body, keep_alive)
}

/// Encodes a response with additional headers.
pub fn encode_response_with_headers(
    status: u16,
    headers: &[(&'static str, String)],
    body: &[u8],
    keep_alive: bool,
) -> Vec<u8> {
    let mut out = encode_head(status, headers);
    out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    if !keep_alive {
        out.push_str("Connection: close\r\n");
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

fn encode_head(status: u16, headers: &[(&'static str, String)]) -> String {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    if !headers.iter().any(|(n, _)| *n == "Content-Type") {
        out.push_str("Content-Type: application/json\r\n");
    }
    for (name, value) in headers {
        // This service writes no value with a line break; a line break would start another
        // header, so control characters are removed.
        let value: String = value.chars().filter(|c| !c.is_control()).collect();
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out
}

/// Encodes the head of a chunked response.
pub fn encode_chunked_response_head(status: u16, headers: &[(&'static str, String)]) -> Vec<u8> {
    format!("{}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n", encode_head(status, headers))
        .into_bytes()
}

/// Encodes a chunk; an empty one ends the body.
pub fn encode_chunk(data: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", data.len()).into_bytes();
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
    out
}

/// How the end of a response body is found.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BodyFraming {
    /// After this number of bytes.
    Length(usize),
    /// With the last chunk of a chunked body.
    Chunked,
    /// When the connection is closed.
    UntilClose,
}

/// Head of a response.
#[derive(Debug, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Length of the head in bytes.
    pub head_len: usize,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// The connection stays open after the message.
    pub keep_alive: bool,
}

/// Parses a response head; `None` if it is incomplete. `Err` if it is not valid HTTP or
/// the body is too long.
pub fn parse_response_head(buf: &[u8]) -> Result<Option<ResponseHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut res = httparse::Response::new(&mut headers);
    let head_len = match res.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(HttpError::Malformed),
    };
    let status = res.code.unwrap_or(0);
    let mut framing =
        if status == 204 || status < 200 { BodyFraming::Length(0) } else { BodyFraming::UntilClose };
    let mut keep_alive = res.version == Some(1);
    for h in res.headers.iter() {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            let n: usize = value.parse().map_err(|_| HttpError::Malformed)?;
            if n > MAX_RESPONSE_BODY_BYTES {
                return Err(HttpError::BodyTooLong);
            }
            framing = BodyFraming::Length(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            framing = BodyFraming::Chunked;
        } else if h.name.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close") {
            keep_alive = false;
        }
    }
    keep_alive &= framing != BodyFraming::UntilClose;
    Ok(Some(ResponseHead { status, head_len, framing, keep_alive }))
}

/// Decodes a chunked body. Returns the body and its encoded length in bytes; `None` if it
/// is incomplete.
pub fn decode_chunked(buf: &[u8]) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let (mut pos, mut out) = (0, Vec::new());
    loop {
        match httparse::parse_chunk_size(&buf[pos..]) {
            Ok(httparse::Status::Complete((size_len, size))) => {
                let size = size as usize;
                if out.len() + size > MAX_RESPONSE_BODY_BYTES {
                    return Err(HttpError::BodyTooLong);
                }
                let end = pos + size_len + size;
                if buf.len() < end + 2 {
                    return Ok(None);
                }
                out.extend_from_slice(&buf[pos + size_len..end]);
                pos = end + 2;
                if size == 0 {
                    return Ok(Some((out, pos)));
                }
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn request_heads_are_parsed_or_rejected() {
        // (request, status of the rejection, (body length, keep-alive))
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
        for (text, status, expected) in cases {
            match parse_request_head(text.as_bytes(), MAX_BODY_BYTES) {
                Ok(h) => {
                    assert_eq!((None, h.map(|h| (h.body_len, h.keep_alive))), (status, expected), "{text:?}")
                }
                Err(e) => assert_eq!(Some(e.status()), status, "{text:?}"),
            }
        }
        assert_eq!(
            parse_request_head(&vec![b'a'; MAX_HEAD_BYTES], MAX_BODY_BYTES),
            Err(HttpError::Malformed)
        );
    }

    #[test]
    fn tokens_are_parsed_and_header_values_stay_on_one_line() {
        let cases = [
            ("X-Nomad-Token: abc", Some("abc")),
            ("x-nomad-token:  abc ", Some("abc")),
            ("Authorization: Bearer abc", Some("abc")),
            ("Authorization: Basic abc", None),
            ("X-Nomad-Token: ", None),
            ("X-Other: abc", None),
        ];
        for (line, expected) in cases {
            let text = format!("GET / HTTP/1.1\r\n{line}\r\n\r\n");
            let h = parse_request_head(text.as_bytes(), 0).unwrap().unwrap();
            assert_eq!(h.token.as_deref(), expected, "{line}");
        }
        let a = encode_response_with_headers(200, &[("X-A", "b\r\nX-Evil: c".into())], b"", true);
        assert_eq!(String::from_utf8(a).unwrap().matches("\r\n").count(), 5);
    }

    #[test]
    fn encoded_chunks_decode() {
        let mut encoded = encode_chunk(b"abc");
        encoded.extend(encode_chunk(b""));
        assert_eq!(decode_chunked(&encoded).unwrap(), Some((b"abc".to_vec(), encoded.len())));
    }

    #[test]
    fn response_heads_and_chunked_bodies_are_parsed() {
        let a = encode_response(503, b"{}", Some(1), false);
        let h = parse_response_head(&a).unwrap().unwrap();
        assert_eq!(
            (h.status, h.framing, h.keep_alive, a.len() - h.head_len),
            (503, BodyFraming::Length(2), false, 2)
        );
        let c = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        assert_eq!(decode_chunked(c).unwrap(), Some((b"abcde".to_vec(), c.len())));
        assert_eq!(decode_chunked(&c[..12]).unwrap(), None);
        assert!(decode_chunked(b"zz\r\n").is_err());
    }
}
