package review;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start, to a file and to standard output. */
final class Record implements AutoCloseable {

    private final PrintStream file;
    private final long startNanos = System.nanoTime();

    Record(Path path) throws IOException {
        file = new PrintStream(Files.newOutputStream(path), true);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String format, Object... arguments) {
        file.println(String.format(Locale.ROOT, "%8.3f  ", seconds()) + String.format(Locale.ROOT, format, arguments));
    }

    /** Writes a line that also goes to standard output. */
    synchronized void result(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public void close() {
        file.close();
    }
}
