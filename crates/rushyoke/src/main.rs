//! rushyoke: a cluster scheduler based on eSplash.

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

/// Exit code for missing or invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Command line of the program.
#[derive(Parser)]
#[command(version, about = "A cluster scheduler based on eSplash", arg_required_else_help = true)]
struct Cli {
    /// Platform settings (TOML); without a command, run a controller with them
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// Operator settings (YAML)
    #[arg(long, value_name = "FILE", global = true, env = "RUSHYOKE_POLICY")]
    policy: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

/// Subcommands; without one, the program runs a controller.
#[derive(Subcommand)]
enum Command {
    /// Validate the settings and exit
    Check,
    /// Submit the job described in a JSON file
    Submit {
        #[command(flatten)]
        target: client::ServerArgs,
        /// Job description, in the format of the body of POST /api/jobs; - reads standard input
        file: PathBuf,
    },
    /// Print the state of a job
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
    let parks = Arc::new(AtomicU64::new(0));
    let park_counter = parks.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(move || {
            park_counter.fetch_add(1, Ordering::Relaxed);
        })
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(1, &format!("cannot start the async runtime: {error}")),
    };
    let request = match cli.command {
        Some(Command::Submit { target, file }) => client::Request::Submit { target, file },
        Some(Command::Status { target, id }) => client::Request::Status { target, id },
        Some(Command::Cancel { target, id }) => client::Request::Cancel { target, id },
        Some(Command::Check) | None => {
            let Some(config) = cli.config else {
                return exit_with_error(EXIT_INVALID_SETTINGS, "--config FILE is missing");
            };
            let settings = match settings::load(&config, cli.policy.as_deref()) {
                Ok(settings) => settings,
                Err(error) => return exit_with_error(EXIT_INVALID_SETTINGS, &error),
            };
            if cli.command.is_some() {
                println!("the settings are fine");
                return ExitCode::SUCCESS;
            }
            init_log();
            return match runtime.block_on(driver::run(settings, parks)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => exit_with_error(1, &error),
            };
        }
    };
    match runtime.block_on(client::run(request)) {
        Ok(response) => {
            println!("{response}");
            ExitCode::SUCCESS
        }
        Err(error) => exit_with_error(1, &error),
    }
}

/// Prints an error on one line of standard error and returns the exit code.
fn exit_with_error(code: u8, message: &str) -> ExitCode {
    eprintln!("rushyoke: {}", message.replace('\n', " "));
    ExitCode::from(code)
}

/// Sets up logging to standard error, at the level of the environment variable `LOG_LEVEL`.
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
