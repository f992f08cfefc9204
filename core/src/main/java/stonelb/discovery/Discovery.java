package stonelb.discovery;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import stonelb.io.Log;
import stonelb.io.Loop;

/**
 * Keeps a watch on discovery wherever it is said to be. When it moves, the old watch goes on until the new one has
 * brought the whole list, so that the list in force is never without a source that could still speak.
 */
public final class Discovery {
    private final Loop loop;
    private final Log log;
    private final HostGroup group;
    private final int gateways;
    private final SplittableRandom random;
    private Watch watch;
    private Watch next;   // at the new address, without a list yet; or null

    /** {@code gateways} may ask it as well; {@code seed} sets their pauses apart. */
    public Discovery(Loop loop, Log log, HostGroup group, int gateways, long seed) {
        this.loop = loop;
        this.log = log;
        this.group = group;
        this.gateways = gateways;
        random = new SplittableRandom(seed);
    }

    public void begin(InetSocketAddress at) {
        watch = new Watch(loop, log, at, group, group.version(), gateways, random, () -> { });
        watch.begin();
    }

    /** Moves the watch to where discovery is now. */
    public void move(InetSocketAddress to) {
        if (next != null) {
            next.stop();
            next = null;
        }
        if (!to.equals(watch.at())) {
            next = new Watch(loop, log, to, group, -1, gateways, random, this::moved);
            next.begin();
        }
    }

    private void moved() {
        if (next != null) {
            watch.stop();
            watch = next;
            next = null;
            log.say("discovery moved, its list is in force");
        }
    }
}
