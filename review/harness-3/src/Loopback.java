/** Loopback addresses of this run, other than those of runs beside it: a gateway's metrics port is the same in all. */
final class Loopback {
    private static final long PID = ProcessHandle.current().pid();

    private Loopback() {}

    static String ip(int host) {
        return "127." + (20 + PID / 250 % 200) + "." + (1 + PID % 250) + "." + host;
    }
}
