//! Compiles the schema of the operators' settings into a descriptor set.
use prost::Message;
use std::{env, error::Error, fs, path::PathBuf};

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=proto/operator.proto");
    let set = protox::compile(["operator.proto"], ["proto"])?;
    let out = PathBuf::from(env::var("OUT_DIR")?).join("operator.bin");
    fs::write(out, set.encode_to_vec())?;
    Ok(())
}
