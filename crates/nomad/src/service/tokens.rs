//! Team tokens, stored as salted hashes.
use gorseshore_settings::NomadToken;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The hash of a token in the form of the operator file, `salt$hash`. Tokens have 128 random bits,
/// so one round of hashing is sufficient.
pub fn hash(salt: &[u8], token: &str) -> String {
    let digest = Sha256::new().chain_update(salt).chain_update(token).finalize();
    format!("{}${}", hex::encode(salt), hex::encode(digest))
}

/// The team of a token. Every configured hash is compared in full and in constant time, so the time
/// taken reveals nothing about any of them.
pub fn team<'a>(tokens: &'a [NomadToken], token: &str) -> Option<&'a str> {
    let mut found = None;
    for t in tokens {
        let Some((salt, _)) = t.hash.split_once('$') else { continue };
        let Ok(salt) = hex::decode(salt) else { continue };
        let same: bool = hash(&salt, token).as_bytes().ct_eq(t.hash.to_ascii_lowercase().as_bytes()).into();
        if same {
            found = Some(t.team.as_str());
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_exact_token_is_accepted() {
        let tokens = vec![
            NomadToken { team: "a".into(), hash: hash(&[1; 16], "one") },
            NomadToken { team: "b".into(), hash: hash(&[2; 16], "two") },
        ];
        for (token, want) in
            [("one", Some("a")), ("two", Some("b")), ("", None), ("One", None), ("one ", None)]
        {
            assert_eq!(team(&tokens, token), want, "{token:?}");
        }
        assert_ne!(hash(&[1; 16], "one"), hash(&[2; 16], "one"));
    }
}
