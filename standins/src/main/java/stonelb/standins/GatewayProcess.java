package stonelb.standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Runs a gateway in a separate process, started by its normal command line. */
public final class GatewayProcess implements AutoCloseable {
    /** A plan without a quota. */
    public static final String UNLIMITED_PLAN = "{\"name\":\"open\",\"worthFactor\":1,\"overrunCost\":1}";

    /** A plan whose customers may spend five units, with nearly no refill. */
    public static final String FIVE_UNIT_PLAN =
            "{\"name\":\"five\",\"unitsPerS\":0.001,\"depth\":5,\"worthFactor\":1,\"overrunCost\":1}";

    private static final List<String> JAVA_ARGUMENTS =
            List.of("-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), "stonelb.gateway.Main");

    private static final int WAIT_POLLS = 3000;
    private static final int WAIT_POLL_MS = 10;

    private final Process process;
    private final List<String> log = new CopyOnWriteArrayList<>();

    /**
     * Starts a gateway from the class path of this process.
     *
     * @param folder where its files are written
     * @param config its configuration
     * @param openApi the settings of the OpenAPI front end, or null to disable it
     */
    public GatewayProcess(Path folder, String config, String openApi) throws IOException {
        this(null, folder, config, openApi, JAVA_ARGUMENTS);
    }

    /**
     * Starts a gateway with other Java arguments.
     *
     * @param javaArguments the arguments of the {@code java} command that precede the program's own
     */
    public GatewayProcess(Path folder, String config, String openApi, String... javaArguments) throws IOException {
        this(null, folder, config, openApi, List.of(javaArguments));
    }

    /** Starts a gateway that ignores SIGHUP, as under {@code nohup}. */
    public static GatewayProcess ignoringSighup(Path folder, String config) throws IOException {
        return new GatewayProcess("trap '' HUP", folder, config, null, JAVA_ARGUMENTS);
    }

    /** Starts a gateway with a limit on the number of its file descriptors. */
    public static GatewayProcess withDescriptorLimit(Path folder, String config, int maxDescriptors)
            throws IOException {
        return new GatewayProcess("ulimit -n " + maxDescriptors, folder, config, null, JAVA_ARGUMENTS);
    }

    private GatewayProcess(String shellPrelude, Path folder, String config, String openApi, List<String> javaArguments)
            throws IOException {
        Path configFile = folder.resolve("config.json");
        Path openApiFile = folder.resolve("openapi.json");
        Files.writeString(configFile, config);
        if (openApi != null) {
            Files.writeString(openApiFile, openApi);
        }
        ProcessBuilder builder = new ProcessBuilder(command(shellPrelude, javaArguments));
        builder.redirectErrorStream(true);
        builder.environment()
                .putAll(Map.of("PROXY_CONFIG", configFile.toString(), "STONELB_OPENAPI", openApiFile.toString()));
        process = builder.start();
        Thread reader = new Thread(this::readLog);
        reader.setDaemon(true);
        reader.start();
    }

    private static List<String> command(String shellPrelude, List<String> javaArguments) {
        List<String> command = new ArrayList<>();
        if (shellPrelude != null) {
            command.addAll(List.of("sh", "-c", shellPrelude + "; exec \"$@\"", "sh"));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(javaArguments);
        command.add("serve");
        return command;
    }

    private void readLog() {
        try {
            process.inputReader().lines().forEach(log::add);
        } catch (UncheckedIOException e) {
            // The stream was closed at the end of the test.
        }
    }

    /**
     * Waits until a front end listens.
     *
     * @param protocol the text before its address in its log line, such as "RESP2 requests"
     * @return its port
     */
    public int port(String protocol) throws InterruptedException {
        String marker = " " + protocol + " on 127.0.0.1:";
        awaitCondition("the gateway listens for " + protocol, () -> firstLogLine(marker) != null);
        String line = firstLogLine(marker);
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
    }

    /** Returns the first log line that contains a text, or null if there is none. */
    public String firstLogLine(String text) {
        return log.stream().filter(line -> line.contains(text)).findFirst().orElse(null);
    }

    /** Returns a copy of the log so far, one element per line. */
    public List<String> log() {
        return new ArrayList<>(log);
    }

    /** Requests a graceful shutdown with SIGTERM, as a service manager does. */
    public void sendSigterm() {
        process.toHandle().destroy(); // Process.destroy would close the log as well
    }

    /** Sends SIGHUP, on which the gateway reloads its configuration. */
    public void sendSighup() throws IOException, InterruptedException {
        new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid()).start().waitFor();
    }

    /** Waits up to a timeout for the process to exit; returns whether it has exited. */
    public boolean awaitExit(long timeoutMs) throws InterruptedException {
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Returns whether the process is running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the exit code of the process, which must have ended. */
    public int exitCode() {
        return process.exitValue();
    }

    /**
     * Waits up to 30 s until a condition holds.
     *
     * @param description the condition in words, for the error message
     * @throws AssertionError if the timeout expires first
     */
    public static void awaitCondition(String description, Callable<Boolean> condition) throws InterruptedException {
        for (int poll = 0; poll < WAIT_POLLS; poll++) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                throw new IllegalStateException(description, e);
            }
            Thread.sleep(WAIT_POLL_MS);
        }
        throw new AssertionError("timed out waiting until: " + description);
    }

    /** Kills the process. */
    @Override
    public void close() {
        process.destroyForcibly();
    }

    /** A client's connection to a gateway. */
    public static final class Client implements AutoCloseable {
        private static final int READ_TIMEOUT_MS = 30_000;

        /** The connection's socket. */
        public final Socket socket;

        /** The input from the gateway. */
        public final InputStream in;

        /** The output to the gateway. */
        public final OutputStream out;

        /** Connects to a port of 127.0.0.1. */
        public Client(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        /** Sends text in ISO-8859-1. */
        public void write(String text) throws IOException {
            StubServer.write(out, text);
        }

        /** Sends a RESP2 command. */
        public void sendCommand(String... words) throws IOException {
            StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
            for (String word : words) {
                text.append('$')
                        .append(word.length())
                        .append("\r\n")
                        .append(word)
                        .append("\r\n");
            }
            write(text.toString());
        }

        /** Sends a RESP2 command and reads the response as text. */
        public String call(String... words) throws IOException {
            sendCommand(words);
            return StubServer.readResp(in);
        }

        /** Sends the text of an HTTP request unchanged and reads the response. */
        public StubServer.HttpMessage httpCall(String text) throws IOException {
            write(text);
            return StubServer.readHttp(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
