//! The executor of the process.

use smol::Executor;

static EXECUTOR: Executor<'static> = Executor::new();

/// Spawns `future` as a detached task, which runs to completion.
pub fn spawn(future: impl Future<Output = ()> + Send + 'static) {
    EXECUTOR.spawn(future).detach();
}

/// Runs `main` to completion on `threads` threads, which also run all spawned tasks.
pub fn run<T>(threads: u64, main: impl Future<Output = T>) -> T {
    for _ in 1..threads.max(1) {
        std::thread::spawn(|| smol::block_on(EXECUTOR.run(std::future::pending::<()>())));
    }
    smol::block_on(EXECUTOR.run(main))
}
