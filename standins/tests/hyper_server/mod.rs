//! A small server on hyper, for the trials.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;

/// Time within which the hyper server ends a slow sender.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// A hyper server on a thread of its own; dropping it stops it.
pub struct HyperServer {
    /// Address it listens on.
    pub address: SocketAddr,
    _life: flume::Sender<Infallible>,
}

impl HyperServer {
    /// Starts it on a free port.
    pub fn start() -> HyperServer {
        let (life_sender, life) = flume::bounded(1);
        let (address_sender, address) = flume::bounded(1);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        thread::spawn(move || {
            runtime.block_on(async {
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                address_sender.send(listener.local_addr().unwrap()).unwrap();
                tokio::select! {
                    _ = life.recv_async() => {}
                    () = accept_hyper(listener) => {}
                }
            });
        });
        HyperServer {
            address: address.recv().unwrap(),
            _life: life_sender,
        }
    }
}

async fn accept_hyper(listener: tokio::net::TcpListener) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let service = service_fn(|_: Request<Incoming>| async {
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"ok"))))
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}
