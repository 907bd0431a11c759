//! Announces the backend server to its agent and renews.

use std::time::Duration;

use attohttpc::ProxySettings;
use rw_core::agent::Announcement;
use rw_core::job::Needs;
use rw_host::link::spawn;

use crate::behaviour::Behaviour;

const RENEW_EVERY: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_millis(800);
const CONNECTIONS: u32 = 64;
const SIZE: Needs = Needs {
    cores: 16,
    memory_mb: 65_536,
    accelerators: 1,
};

/// Keeps announcing, in a thread of its own.
pub fn start(behaviour: &Behaviour) {
    let Some(agent) = behaviour.agent else { return };
    let announcement = Announcement {
        name: behaviour.name.as_str().into(),
        url: format!("http://{}", behaviour.listen).into(),
        services: behaviour
            .services
            .iter()
            .map(|service| service.as_str().into())
            .collect(),
        slots: behaviour.slots,
        connections: CONNECTIONS,
        size: SIZE,
        leaving: false,
    };
    let body = serde_json::to_string(&announcement).unwrap_or_default();
    spawn("announce", move || {
        loop {
            let sent = attohttpc::put(format!("http://{agent}/v1/backend"))
                .timeout(TIMEOUT)
                .proxy_settings(ProxySettings::builder().build())
                .text(&body)
                .send();
            if let Err(e) = sent {
                log::debug!(error:% = e; "not announced");
            }
            std::thread::sleep(RENEW_EVERY);
        }
    });
}
