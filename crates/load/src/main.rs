//! `rw-load`: load, replay and measurement.

use rw_core::ids::JobKey;
use rw_host::clock;

fn main() {
    println!("{}", JobKey::new(clock::wall(), fastrand::u128(..)));
}
