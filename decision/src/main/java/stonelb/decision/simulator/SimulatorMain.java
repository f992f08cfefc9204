package stonelb.decision.simulator;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;

/** Runs the decision module on the simulator's protocol, over standard input and output. */
public final class SimulatorMain {

    /** Serves until the input ends; exit code 1 after malformed input, 2 after wrong arguments. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("simulator")) {
            System.err.println("usage: java -jar stonelb.jar simulator");
            System.exit(2);
        }
        try {
            new SimulatorSession()
                    .serve(new BufferedInputStream(System.in, 1 << 16), new BufferedOutputStream(System.out, 1 << 16));
        } catch (IOException | SimulatorFrames.MalformedFrameException e) {
            System.err.println("stonelb: " + e.getMessage());
            System.exit(1);
        }
    }

    private SimulatorMain() {}
}
