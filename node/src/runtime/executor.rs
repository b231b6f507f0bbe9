//! One executor for the whole process.

use smol::Executor;

static EXECUTOR: Executor<'static> = Executor::new();

/// Runs `future` on the executor until it ends, whoever waits for it.
pub fn spawn(future: impl Future<Output = ()> + Send + 'static) {
    EXECUTOR.spawn(future).detach();
}

/// Runs `main` to its end, with `threads` threads for it and all spawned tasks.
pub fn run<T>(threads: u64, main: impl Future<Output = T>) -> T {
    for _ in 1..threads.max(1) {
        std::thread::spawn(|| smol::block_on(EXECUTOR.run(std::future::pending::<()>())));
    }
    smol::block_on(EXECUTOR.run(main))
}
