package stonelb.gateway.testing;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import stonelb.io.EventLoop;

/** Runs tasks on the event loop and waits for them; fails with a timeout after 20 s. */
public final class EventLoopTasks {
    private static final long TIMEOUT_S = 20;

    private EventLoopTasks() {}

    /** Runs the task on the event loop and waits for it. */
    public static void run(EventLoop loop, Runnable task) throws Exception {
        CompletableFuture.runAsync(task, loop::execute).get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Runs the task on the event loop and returns its result. */
    public static <T> T call(EventLoop loop, Supplier<T> task) throws Exception {
        return CompletableFuture.supplyAsync(task, loop::execute).get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /**
     * Waits for one iteration of the event loop, which reads all input between a task and a timer that the task
     * schedules.
     */
    public static void awaitIteration(EventLoop loop) throws Exception {
        CompletableFuture<Void> completed = new CompletableFuture<>();
        loop.execute(() -> loop.timers().scheduleAfter(0, (now, token) -> completed.complete(null), 0));
        completed.get(TIMEOUT_S, TimeUnit.SECONDS);
    }
}
