package stonelb;

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
final class Reload {
    private final Semaphore asked = new Semaphore(0);
    private final Log log;

    /** From here on the signal, which would end the program, is kept until {@link #begin}. */
    Reload(Log log) {
        this.log = log;
        try {
            // By reflection: the class is in every JDK (module jdk.unsupported), yet the compiler warns of its name.
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object release = Proxy.newProxyInstance(Reload.class.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            asked.release();
                            return null;
                        }
                        return method.getName().equals("equals") ? (Object) (proxy == arguments[0])
                                : method.getName().equals("hashCode") ? (Object) 1 : "SIGHUP handler";
                    });
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), release);
        } catch (ReflectiveOperationException | RuntimeException e) {
            log.say("SIGHUP can't be handled here, so it ends the program: " + e);
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
