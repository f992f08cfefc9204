package stonelb;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import stonelb.config.Configuration;
import stonelb.io.Log;

/**
 * SIGHUP: the configuration file is read again, by a thread of its own, since to read and check it takes longer than
 * queries can wait. What reads well is handed over whole; what does not is said, and the old settings stay.
 */
final class Reload implements InvocationHandler {
    private final Semaphore asked = new Semaphore(0);
    private final Log log;

    /** From here on the signal, which would end the program, is kept until {@link #begin}. */
    Reload(Log log) {
        this.log = log;
        try {
            // By reflection: every JDK has the class (module jdk.unsupported), but the compiler warns of its name.
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"),
                    Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, this));
        } catch (ReflectiveOperationException | RuntimeException e) {
            log.say("SIGHUP can't be handled here, so it ends the program: " + e);
        }
    }

    /** The signal has come. */
    @Override
    public Object invoke(Object proxy, Method method, Object[] arguments) {
        switch (method.getName()) {
            case "handle":
                asked.release();
                return null;
            case "equals":
                return proxy == arguments[0];
            case "hashCode":
                return System.identityHashCode(proxy);
            default:
                return "SIGHUP handler";
        }
    }

    /** Several signals that come together are one: the file is read after the last of them. */
    void begin(Map<String, String> environment, Consumer<Configuration> use) {
        Thread thread = new Thread(() -> {
            while (true) {
                asked.acquireUninterruptibly();
                asked.drainPermits();
                try {
                    use.accept(Configuration.read(environment));
                } catch (Configuration.Invalid e) {
                    log.say("configuration rejected, the old one stays in force: " + e.getMessage());
                }
            }
        }, "reload");
        thread.setDaemon(true);
        thread.start();
    }
}
