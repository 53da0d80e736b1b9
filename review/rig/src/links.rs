//! Links between the controllers, each through a proxy that can be cut: connections stay open and
//! carry nothing, as behind a cut that holds packets back; at its end they are reset.
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The connecting and the accepting controller.
type Link = (usize, usize);

#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<Inner>>);

#[derive(Default)]
struct Inner {
    cut: BTreeSet<Link>,
    /// Connections that were open during a cut are reset after it.
    held: Vec<(Link, TcpStream, TcpStream)>,
}

impl Links {
    /// The address at which a controller reaches another one.
    pub fn proxy(&self, link: Link, target: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let links = self.clone();
        std::thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let links = links.clone();
                std::thread::spawn(move || links.connection(link, from, target));
            }
        });
        Ok(addr)
    }

    /// Cuts all links of a controller with others, or ends the cut.
    pub fn cut(&self, node: usize, of: usize, cut: bool) {
        let mut i = self.0.lock().unwrap();
        for other in (0..of).filter(|o| *o != node) {
            for link in [(node, other), (other, node)] {
                if cut {
                    i.cut.insert(link);
                } else {
                    i.cut.remove(&link);
                }
            }
        }
        if !cut {
            for (_, a, b) in std::mem::take(&mut i.held) {
                let _ = a.shutdown(Shutdown::Both);
                let _ = b.shutdown(Shutdown::Both);
            }
        }
    }

    fn is_cut(&self, link: Link) -> bool {
        self.0.lock().unwrap().cut.contains(&link)
    }

    fn connection(&self, link: Link, from: TcpStream, target: SocketAddr) {
        let _ = from.set_nodelay(true);
        // A connection that is attempted during a cut comes to nothing.
        if self.is_cut(link) {
            while self.is_cut(link) {
                std::thread::sleep(Duration::from_millis(20));
            }
            return;
        }
        let Ok(to) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else { return };
        let _ = to.set_nodelay(true);
        let (Ok(from2), Ok(to2)) = (from.try_clone(), to.try_clone()) else { return };
        let links = self.clone();
        let back = std::thread::spawn(move || links.pump(link, to2, from2));
        self.pump(link, from, to);
        let _ = back.join();
    }

    fn pump(&self, link: Link, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0u8; 16384];
        loop {
            let n = from.read(&mut chunk).unwrap_or(0);
            if self.is_cut(link) && n > 0 {
                // Nothing passes any more; the connection is reset when the cut ends.
                if let (Ok(a), Ok(b)) = (from.try_clone(), to.try_clone()) {
                    self.0.lock().unwrap().held.push((link, a, b));
                }
                while self.is_cut(link) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            if n == 0 || to.write_all(&chunk[..n]).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
