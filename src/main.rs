//! The program: parses the arguments, sets up logging, and runs a node with its listeners.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
};

use clap::Parser;
use stonewheel::{
    activation, cloud::HttpCloud, coordination, lending, node::Node, replica_jobs::HttpProbe,
    rollout, settings::Settings, state, worker_client::HttpWorkers,
};
use tokio::net::TcpListener;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::level_filters::LevelFilter;

/// A scheduler for fleets that serve language models.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The platform's settings file (TOML)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (INI)
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match Settings::load(&arguments.config, arguments.operator.as_deref()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("stonewheel: {error}");
            return ExitCode::from(2);
        }
    };
    for warning in settings.warnings() {
        eprintln!("stonewheel: {}: warning: {warning}", arguments.config.display());
    }
    if arguments.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    let level = std::env::var("LOG_LEVEL").ok().and_then(|l| l.parse::<LevelFilter>().ok());
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level.unwrap_or(LevelFilter::INFO))
        .with_ansi(false)
        .without_time()
        .init();
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "serving failed");
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: Settings) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let public = stonewheel::http::listen(settings.public_addr, settings.listen_backlog())?;
        let internal = TcpListener::bind(settings.internal_addr).await?;
        tracing::info!(member = %settings.member, zone = %settings.zone, "controller starting");
        let state = Arc::new(state::http_state(&settings));
        let cloud = Arc::new(HttpCloud::new(&settings));
        let seed = rand::random();
        let workers = Arc::new(HttpWorkers::new(&settings));
        let node = Node::new(settings, state, cloud, workers, seed);
        let stop = CancellationToken::new();
        let part_tasks = TaskTracker::new();
        start_enabled_parts(&node, public.local_addr()?.ip(), seed, &part_tasks, &stop).await?;
        node.run(public, internal, stop).await;
        part_tasks.close();
        part_tasks.wait().await;
        Ok(())
    })
}

/// Starts the optional parts (activation, rollout, lending) that the operators' settings enable,
/// as tasks tracked by `part_tasks`.
async fn start_enabled_parts(
    node: &Arc<Node>,
    public: IpAddr,
    seed: u64,
    part_tasks: &TaskTracker,
    stop: &CancellationToken,
) -> std::io::Result<()> {
    let probe = Arc::new(HttpProbe::new(&node.settings));
    let coordinator = coordination::coordinator(node);
    let activator = activation::activator(node, coordinator.clone(), probe.clone(), seed);
    let executor = rollout::executor(node, coordinator.clone(), probe, seed);
    let lending = lending::lending(node, coordinator.clone(), seed);
    if activator.is_some() || executor.is_some() || lending.is_some() {
        part_tasks.spawn(coordinator.run(stop.clone()));
    }
    if let Some(lending) = lending {
        part_tasks.spawn(lending.run(stop.clone()));
    }
    if let Some(activator) = activator {
        let address = activator.settings().listen.address(public);
        let listener = bind(address, "activation.listen").await?;
        part_tasks.spawn(activator.clone().run(stop.clone()));
        part_tasks.spawn(stonewheel_activation::serve(activator, listener, stop.clone()));
    }
    if let (Some(executor), Some(settings)) = (executor, &node.settings.operator.rollout) {
        let listener = bind(settings.listen, "rollout.listen").await?;
        part_tasks.spawn(executor.clone().run(stop.clone()));
        part_tasks.spawn(stonewheel_rollout::serve(executor, listener, stop.clone()));
    }
    Ok(())
}

async fn bind(address: SocketAddr, setting: &str) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.inspect_err(|error| tracing::error!(setting, %address, %error, "listener not bound"))
}
