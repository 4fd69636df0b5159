//! The programs under review as processes, each on a loopback address of its own that stands for a machine.

use {
    crate::util::{self, record},
    std::{
        fs,
        net::TcpListener,
        path::{Path, PathBuf},
        process::{self, Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const PROGRAM: &str = "target/release/cumincart-platform";

pub const ZONES: [(&str, &str); 3] = [("sofia-a", "sofia"), ("plovdiv-a", "plovdiv"), ("varna-a", "varna")];

pub struct Process {
    pub name: String,
    pub ip: String,
    pub zone: usize,
    role: &'static str,
    child: Mutex<Option<Child>>,
}

/// One control and one entry instance in each zone.
pub struct Fleet {
    folder: PathBuf,
    subnet: u8,
    port: u16,
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
}

impl Fleet {
    /// Chooses free loopback addresses and a temporary folder.
    pub fn new() -> Arc<Self> {
        let seed = process::id();
        for attempt in 0..200 {
            let subnet = u8::try_from((seed + attempt * 7) % 200 + 30).expect("less than 256");
            let port = 20_000 + u16::try_from((seed / 3 + attempt * 64) % 30_000).expect("fits");
            let ips = (1..=20).map(|host| format!("127.{subnet}.0.{host}"));
            let is_free = ips
                .clone()
                .all(|ip| (0..8).all(|offset| TcpListener::bind(format!("{ip}:{}", port + offset)).is_ok()));
            if !is_free {
                continue;
            }
            let folder = std::env::temp_dir().join(format!("cumincart-review-{seed}"));
            let machine = |role: &'static str, zone: usize| Process {
                name: format!("{role}-{}-1", ZONES[zone].0),
                ip: format!("127.{subnet}.0.{}", if role == "control" { zone + 1 } else { zone + 4 }),
                zone,
                role,
                child: Mutex::new(None),
            };
            return Arc::new(Self {
                folder,
                subnet,
                port,
                controls: (0..3).map(|zone| machine("control", zone)).collect(),
                entries: (0..3).map(|zone| machine("entry", zone)).collect(),
            });
        }
        eprintln!("no free loopback addresses");
        process::exit(2);
    }

    pub fn control_addresses(&self) -> Vec<String> {
        self.controls.iter().map(|control| format!("{}:{}", control.ip, self.port + 2)).collect()
    }

    pub fn front_address(&self, entry: usize) -> String {
        format!("{}:{}", self.entries[entry].ip, self.port)
    }

    pub fn ready_address(&self, entry: usize) -> String {
        format!("{}:{}", self.entries[entry].ip, self.port + 1)
    }

    pub fn database_address(&self, index: usize) -> String {
        format!("127.{}.0.{}:{}", self.subnet, index + 10, self.port + 3)
    }

    pub fn cloud_address(&self) -> String {
        format!("127.{}.0.9:{}", self.subnet, self.port + 4)
    }

    fn settings(&self, process: &Process) -> String {
        let (zone, region) = ZONES[process.zone];
        let is_control = process.role == "control";
        let quoted =
            |items: &[String]| items.iter().map(|item| format!("\"{item}\"")).collect::<Vec<_>>().join(",");
        let zones: Vec<String> =
            ZONES.iter().map(|(zone, region)| format!("\"{zone}\":\"{region}\"")).collect();
        let listen = if is_control {
            format!("\"control\":\"{}:{}\"", process.ip, self.port + 2)
        } else {
            format!("\"front\":\"{ip}:{}\",\"ready\":\"{ip}:{}\"", self.port, self.port + 1, ip = process.ip)
        };
        let data_dir = if is_control {
            format!("\"{}\"", self.folder.join(&process.name).join("data").display())
        } else {
            "null".to_owned()
        };
        format!(
            "{{\"node_name\":\"{}\",\"role\":\"{}\",\"machine_class\":\"{}\",\"serves\":[\"{}\"],\"ip\":\"{}\",\"zone\":\"{zone}\",\"region\":\"{region}\",\"zones\":{{{}}},\"listen\":{{{listen}}},\"port_range\":[{},{}],\"seeds\":[{}],\"bootstrap\":true,\"counts_as_loss\":{is_control},\"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"max_fds\":4300,\"link_mbps\":1000.0,\"disk_mb\":128}},\"data_dir\":{data_dir},\"discovery\":\"registry\",\"entry\":\"vip\",\"heartbeat_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",\"tenants\",\"quota\",\"places\"],\"fault_tolerance\":{{\"machines\":1,\"zones\":1,\"regions\":1}},\"bounds\":{{\"stable_window_ms\":5000,\"ack_ms\":6000,\"drain_ms\":7000,\"grace_s\":6,\"config_apply_ms\":3000,\"fail_closed\":true,\"revoke_ms\":5000,\"evacuate_ms\":5000,\"require_fencing\":true}},\"config_mode\":\"highest\",\"cloud_api\":{{\"address\":\"{}\",\"rate_per_s\":50.0,\"duties\":[\"promotion\"],\"duty_per_s\":50.0}}}}",
            process.name,
            process.role,
            if is_control { "core" } else { "front" },
            if is_control { "control" } else { "front" },
            process.ip,
            zones.join(","),
            self.port + 5,
            self.port + 7,
            quoted(&self.control_addresses()),
            self.cloud_address()
        )
    }

    fn start_process(&self, process: &Process) {
        let folder = self.folder.join(&process.name);
        fs::create_dir_all(&folder).expect("a folder in the temporary folder can be made");
        let settings = folder.join("settings.json");
        fs::write(&settings, self.settings(process)).expect("the settings can be written");
        let log = fs::File::options().create(true).append(true).open(folder.join("log"));
        let child = Command::new(Path::new(PROGRAM))
            .arg(process.role)
            .env("CUMINCART_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.expect("the log can be opened"))
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => *process.child.lock().unwrap() = Some(child),
            Err(error) => {
                record(&format!("{PROGRAM} can't be started: {error}"));
                self.stop_all();
                process::exit(2);
            }
        }
    }

    /// Starts all processes.
    pub fn start(&self) {
        for process in self.controls.iter().chain(&self.entries) {
            self.start_process(process);
        }
    }

    /// Waits until all entry instances say that they are ready. Returns whether they do.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let is_ready = |entry: usize| {
                let address = self.ready_address(entry);
                let response = util::http(&address, "GET", "/-/ready", "", Duration::from_millis(500));
                response.is_some_and(|response| response.status == 200)
            };
            if (0..self.entries.len()).all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Ends all processes and removes the temporary folder. Keeps the logs beside the record if asked to.
    pub fn stop_all(&self) {
        for process in self.controls.iter().chain(&self.entries) {
            if let Some(mut child) = process.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if let Ok(kept) = std::env::var("KEEP_LOGS") {
            for process in self.controls.iter().chain(&self.entries) {
                let log = self.folder.join(&process.name).join("log");
                let _ = fs::copy(log, Path::new(&kept).join(format!("{}.log", process.name)));
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
