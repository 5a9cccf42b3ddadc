//! Proxies between the daemons, and between the store and the far region, that let nothing pass between
//! the regions while these are cut off from each other. What was sent meanwhile arrives afterwards.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

#[derive(Clone, Default)]
pub struct RegionCut {
    is_cut: Arc<AtomicBool>,
    /// Names and regions of the machines.
    members: Arc<Mutex<Vec<(String, String)>>>,
}

/// What a proxy stands before.
#[derive(Clone)]
pub enum ProxySide {
    /// A daemon of a region; the caller's first frame has its name.
    Daemon(String),
    /// The store; all callers are of the far region.
    Store,
}

impl RegionCut {
    pub fn set(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    pub fn add_member(&self, name: &str, region: &str) {
        let member = (name.to_owned(), region.to_owned());
        self.members.lock().unwrap().push(member);
    }

    /// Starts a proxy.
    pub fn forward(&self, proxy: SocketAddr, target: SocketAddr, side: ProxySide) -> Option<()> {
        let listener = TcpListener::bind(proxy).ok()?;
        let cut = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (cut, side) = (cut.clone(), side.clone());
                thread::spawn(move || cut.serve(stream, target, &side));
            }
        });
        Some(())
    }

    fn serve(&self, mut caller: TcpStream, target: SocketAddr, side: &ProxySide) {
        let mut first = [0; 4096];
        let Ok(count) = caller.read(&mut first) else {
            return;
        };
        let is_far = match side {
            ProxySide::Store => true,
            ProxySide::Daemon(region) => self
                .region_in(&first[..count])
                .is_none_or(|of| of != *region),
        };
        self.wait_open(is_far);
        let Ok(mut callee) = TcpStream::connect(target) else {
            return;
        };
        let _ = caller.set_nodelay(true);
        let _ = callee.set_nodelay(true);
        if callee.write_all(&first[..count]).is_err() {
            return;
        }
        let (Ok(from), Ok(to)) = (callee.try_clone(), caller.try_clone()) else {
            return;
        };
        let back = self.clone();
        thread::spawn(move || back.pump(from, to, is_far));
        self.pump(caller, callee, is_far);
    }

    /// Region of the machine that is named in the bytes.
    fn region_in(&self, bytes: &[u8]) -> Option<String> {
        let text = String::from_utf8_lossy(bytes);
        let members = self.members.lock().unwrap();
        let named = members
            .iter()
            .find(|(name, _)| text.contains(name.as_str()));
        named.map(|(_, region)| region.clone())
    }

    fn wait_open(&self, is_far: bool) {
        while is_far && self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, is_far: bool) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            self.wait_open(is_far);
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
