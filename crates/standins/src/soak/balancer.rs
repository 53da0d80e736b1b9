//! The load balancer of a run: probes the controllers over loopback and gives users connections to
//! those that it takes for healthy.
use crate::load_balancer::{
    CONNECT_TIMEOUT, LoadBalancer, MAX_CONNECT_ATTEMPTS, PROBE_INTERVAL, PROBE_TIMEOUT,
};
use crate::net::send_request;
use gorseshore_protocol::ids::Micros;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

fn duration(time: Micros) -> Duration {
    Duration::from_micros(time.0)
}

/// Controllers behind the load balancer.
pub struct BalancedControllers {
    addresses: Vec<SocketAddr>,
    start: Instant,
    balancer: Mutex<LoadBalancer>,
}

impl BalancedControllers {
    /// The load balancer of these controllers, none of them probed yet.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let balancer = Mutex::new(LoadBalancer::new(addresses.len()));
        BalancedControllers { addresses, start: Instant::now(), balancer }
    }

    fn update<T>(&self, change: impl FnOnce(&mut LoadBalancer, Micros) -> T) -> T {
        let now = Micros(self.start.elapsed().as_micros() as u64);
        change(&mut self.balancer.lock().unwrap_or_else(std::sync::PoisonError::into_inner), now)
    }

    /// Sends a request to a healthy controller that accepts a connection in time; `None` if there is
    /// none, or no response.
    pub fn with_connection<T>(&self, send: impl Fn(usize) -> Option<T>) -> Option<T> {
        let mut tried = Vec::new();
        while tried.len() < MAX_CONNECT_ATTEMPTS {
            let at = self.update(|balancer, now| balancer.choose(&tried, now))?;
            if TcpStream::connect_timeout(&self.addresses[at], duration(CONNECT_TIMEOUT)).is_ok() {
                self.update(|balancer, _| balancer.connected(at));
                let response = send(at);
                self.update(|balancer, _| balancer.disconnected(at));
                return response;
            }
            self.update(|balancer, now| balancer.connect_failed(at, now));
            tried.push(at);
        }
        None
    }

    /// Probes a controller until the users stop.
    pub fn probe_until(&self, at: usize, stopped: impl Fn() -> bool) {
        while !stopped() {
            let began = Instant::now();
            let timeout = duration(PROBE_TIMEOUT);
            let headers = "Connection: close\r\n";
            let response = send_request(self.addresses[at], "GET", "/ready", headers, "", timeout);
            let ok = response.is_some_and(|r| r.status == 200) && began.elapsed() <= timeout;
            self.update(|balancer, now| balancer.probe_ended(at, ok, now));
            std::thread::sleep(duration(PROBE_INTERVAL).saturating_sub(began.elapsed()));
        }
    }
}
