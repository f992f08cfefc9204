package stonelb.gateway;

import java.lang.reflect.Field;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;
import stonelb.io.FileFingerprint;
import stonelb.io.RateLimitedLog;

/**
 * Rereads the configuration file on SIGHUP. It runs on a separate thread, since reading and validating the file would
 * delay requests on the event loop. A valid configuration is passed to the listener; an invalid one is logged, and the
 * current one stays in use. Where SIGHUP can't be handled, the thread polls for a replaced file instead.
 */
final class ConfigurationReloader implements InvocationHandler {
    /** Interval between checks for a replaced file, where SIGHUP can't be handled. */
    private static final long POLL_INTERVAL_MS = 250;

    private static final String POLLING_NOTE = "the configuration is reloaded when its file is replaced";

    private final Semaphore pendingSignals = new Semaphore(0);
    private final RateLimitedLog log;
    private final Map<String, String> environment;
    private final boolean handlesSignal;
    private FileFingerprint lastFingerprint;

    /**
     * Installs the signal handler; signals that arrive before {@link #start} are kept until then. Create the reloader
     * before the configuration is first read, so that a file replaced in between is noticed.
     */
    ConfigurationReloader(RateLimitedLog log, Map<String, String> environment) {
        this.log = log;
        this.environment = environment;
        lastFingerprint = fingerprint();
        handlesSignal = installSignalHandler();
    }

    /**
     * Installs the SIGHUP handler and returns whether the signal will be delivered. The JVM keeps ignoring a signal
     * that was ignored when it started, which only the previous handler that {@code Signal.handle} returns shows.
     */
    private boolean installSignalHandler() {
        try {
            // Uses reflection: every JDK has the class (module jdk.unsupported), but the compiler warns about direct
            // use.
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object hangUp = signalClass.getConstructor(String.class).newInstance("HUP");
            Object handler = Proxy.newProxyInstance(handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, this);
            Method handle = signalClass.getMethod("handle", signalClass, handlerClass);
            Object previousHandler = handle.invoke(null, hangUp, handler);
            Field ignoringHandler = handlerClass.getField("SIG_IGN");
            if (previousHandler != ignoringHandler.get(null)) {
                return true;
            }
            log.info("SIGHUP is ignored by this process (as under nohup): " + POLLING_NOTE);
        } catch (ReflectiveOperationException | RuntimeException e) {
            log.info("SIGHUP cannot be handled and would end the program (" + e + "): " + POLLING_NOTE);
        }
        return false;
    }

    private FileFingerprint fingerprint() {
        String file = environment.get("PROXY_CONFIG");
        return file == null ? null : FileFingerprint.of(Path.of(file));
    }

    /** Implements the signal handler, called on the JVM's signal thread. */
    @Override
    public Object invoke(Object proxy, Method method, Object[] arguments) {
        return switch (method.getName()) {
            case "handle" -> {
                pendingSignals.release();
                yield null;
            }
            case "equals" -> proxy == arguments[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "SIGHUP handler";
        };
    }

    /**
     * Starts the thread. Signals that arrive in quick succession cause one reload, after the last of them.
     *
     * @param onConfiguration called with each valid configuration, on the reloader's thread
     */
    void start(Consumer<Configuration> onConfiguration) {
        Thread thread = new Thread(() -> reloadUntilInterrupted(onConfiguration), "reload");
        thread.setDaemon(true);
        thread.start();
    }

    private void reloadUntilInterrupted(Consumer<Configuration> onConfiguration) {
        while (true) {
            try {
                awaitReloadRequest();
                onConfiguration.accept(Configuration.read(environment));
            } catch (InvalidConfigurationException e) {
                log.info("configuration rejected, keeping the current one: " + e.getMessage());
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | StackOverflowError e) {
                // A file nested too deeply, or a bug in a reload, must not end this thread: later reloads would be
                // lost.
                log.info("configuration not applied, keeping the current one: internal error " + e);
            }
        }
    }

    private void awaitReloadRequest() throws InterruptedException {
        if (handlesSignal) {
            pendingSignals.acquire();
            pendingSignals.drainPermits();
        } else {
            awaitReplacedFile();
        }
    }

    private void awaitReplacedFile() throws InterruptedException {
        while (true) {
            FileFingerprint current = fingerprint();
            if (current != null && !current.equals(lastFingerprint)) {
                lastFingerprint = current;
                return;
            }
            if (pendingSignals.tryAcquire(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
                pendingSignals.drainPermits();
                return;
            }
        }
    }
}
