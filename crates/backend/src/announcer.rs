//! Announces the backend server to its agent and renews the announcement.

use std::time::Duration;

use attohttpc::ProxySettings;
use rw_core::agent::Announcement;
use rw_core::job::Resources;
use rw_host::link::spawn;

use crate::behaviour::Behaviour;

/// Time between two announcements.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum duration of one request to the agent.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Number of connections that the server announces to accept at once.
const CONNECTIONS: u32 = 64;
/// Resources that the server announces as available to a task.
const TASK_RESOURCES: Resources = Resources {
    cores: 16,
    memory_mb: 65_536,
    accelerators: 1,
};

/// Starts a thread that announces the server periodically. Does nothing without an agent.
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
        size: TASK_RESOURCES,
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
                log::debug!(error:% = e; "announcement to the agent failed");
            }
            std::thread::sleep(RENEW_INTERVAL);
        }
    });
}
