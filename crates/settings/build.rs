//! Compiles the schema of the operators' settings to a descriptor set for the crate to embed.
use prost::Message;
use std::{env, error::Error, fs, path::PathBuf};

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=proto/operator.proto");
    let descriptor_set = protox::compile(["operator.proto"], ["proto"])?;
    let path = PathBuf::from(env::var("OUT_DIR")?).join("operator.bin");
    fs::write(path, descriptor_set.encode_to_vec())?;
    Ok(())
}
