import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of the case. */
final class Record {

    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Returns the milliseconds since the start of the case. */
    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void note(String text) {
        if (out != null) {
            out.println(String.format(Locale.ROOT, "%8.3f  %s", millis() / 1000.0, text));
        }
    }

    static void result(String text) {
        note(text);
        System.out.println(text);
    }
}
