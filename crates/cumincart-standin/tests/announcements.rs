//! The announcements of a stand-in group, as received over HTTP.

use {
    cumincart_protocol::{
        announcement::{Announcement, Role},
        name::{DomainName, EndpointName, ServiceName},
    },
    cumincart_standin::{group::Group, settings::GroupSettings},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::mpsc,
    },
};

/// Timeout of one announcement; 100 times the interval.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server that responds to every request with 204 and forwards the announcement in its body.
async fn announcement_server() -> (String, mpsc::UnboundedReceiver<Announcement>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let url = format!("http://{}", listener.local_addr().expect("the listener is bound"));
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, sender.clone()));
        }
    });
    (url, receiver)
}

async fn serve_connection(mut stream: TcpStream, sender: mpsc::UnboundedSender<Announcement>) {
    let mut received = Vec::new();
    loop {
        if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&received);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        assert!(head.starts_with("POST /announce "), "{head}");
        let Ok(announcement) = serde_json::from_str(body) else { continue };
        sender.send(announcement).expect("the test holds the receiver");
        received.clear();
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.expect("the client awaits the response");
    }
}

async fn next_announcement_of(
    receiver: &mut mpsc::UnboundedReceiver<Announcement>,
    name: &str,
) -> Announcement {
    let wait = async {
        loop {
            let announcement = receiver.recv().await.expect("the listener runs");
            if announcement.endpoint == EndpointName::from(name) {
                return announcement;
            }
        }
    };
    tokio::time::timeout(ANNOUNCEMENT_TIMEOUT, wait).await.expect("the announcement arrives in time")
}

fn settings(url: String) -> GroupSettings {
    let domains = ["pl-quay", "cp-forest"].map(DomainName::from);
    GroupSettings {
        announce_to: vec![url.into()],
        ..GroupSettings::new(ServiceName::from("ledger"), &domains)
    }
}

#[tokio::test]
async fn databases_announce_role_position_and_limits() {
    let (url, mut receiver) = announcement_server().await;
    let group = Group::spawn(settings(url)).await.expect("loopback ports are free");
    let primary = next_announcement_of(&mut receiver, "ledger-1").await;
    assert_eq!((primary.role, primary.domain, primary.lag_ms), (Role::Primary, "pl-quay".into(), 0));
    assert_eq!((primary.slots, primary.connection_limit, primary.leaving), (5, 30, false));
    let replica = next_announcement_of(&mut receiver, "ledger-2").await;
    assert_eq!((replica.role, replica.service), (Role::Replica, "ledger".into()));
    let address = group.database(&"ledger-2".into()).expect("the group has this database").address();
    assert_eq!(replica.address, address);
}

#[tokio::test]
async fn database_announces_leaving_after_announcements_resume() {
    let (url, mut receiver) = announcement_server().await;
    let group = Group::spawn(settings(url)).await.expect("loopback ports are free");
    let replica = group.database(&"ledger-2".into()).expect("the group has this database");
    next_announcement_of(&mut receiver, "ledger-2").await;
    replica.set_announcing(false);
    replica.announce_leaving();
    replica.set_announcing(true);
    while !next_announcement_of(&mut receiver, "ledger-2").await.leaving {}
}
