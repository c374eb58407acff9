//! rushyoke: a cluster scheduler after eSplash.

mod client;
mod driver;
mod http_client;
mod outbound;
mod pacing;
mod rate_limit;
mod server;
mod settings;
mod stats;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use clap::{Parser, Subcommand};

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;

#[derive(Parser)]
#[command(version, about = "A cluster scheduler after eSplash", arg_required_else_help = true)]
struct Cli {
    /// Settings handed over by the platform (TOML); without a command, serve with them
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// Operators' own settings (YAML)
    #[arg(long, value_name = "FILE", global = true, env = "RUSHYOKE_POLICY")]
    policy: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check the settings and exit
    Check,
    /// Submit the job described in a JSON file
    Submit {
        #[command(flatten)]
        target: client::ServerArgs,
        /// The job, as in the body of POST /api/jobs; - reads standard input
        file: PathBuf,
    },
    /// Print a job's state
    Status {
        #[command(flatten)]
        target: client::ServerArgs,
        id: String,
    },
    /// Cancel a job
    Cancel {
        #[command(flatten)]
        target: client::ServerArgs,
        id: String,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let waits = Arc::new(AtomicU64::new(0));
    let counted = waits.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(move || {
            counted.fetch_add(1, Ordering::Relaxed);
        })
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(1, &format!("the runtime cannot start: {error}")),
    };
    let client = match cli.command {
        Some(Command::Submit { target, file }) => client::Request::Submit { target, file },
        Some(Command::Status { target, id }) => client::Request::Status { target, id },
        Some(Command::Cancel { target, id }) => client::Request::Cancel { target, id },
        Some(Command::Check) | None => {
            let Some(config) = cli.config else {
                return fail(BAD_SETTINGS, "--config FILE is missing");
            };
            let settings = match settings::load(&config, cli.policy.as_deref()) {
                Ok(settings) => settings,
                Err(error) => return fail(BAD_SETTINGS, &error),
            };
            if cli.command.is_some() {
                println!("the settings are fine");
                return ExitCode::SUCCESS;
            }
            init_log();
            return match runtime.block_on(driver::run(settings, waits)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => fail(1, &error),
            };
        }
    };
    match runtime.block_on(client::run(client)) {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(1, &error),
    }
}

fn fail(code: u8, line: &str) -> ExitCode {
    eprintln!("rushyoke: {}", line.replace('\n', " "));
    ExitCode::from(code)
}

fn init_log() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => tracing::Level::ERROR,
        Ok("debug") => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(false)
        .without_time()
        .init();
}
