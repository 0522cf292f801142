package review;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A server of a stage: makes one result for each item, one call at a time, and keeps them until they are freed. */
class StageServer extends HttpStandIn {

    private static final Pattern ITEM = Pattern.compile("\\{\"id\":\"([^\"]+)\",\"stage\":(\\d+),\"piece\":(\\d+)");
    private static final Pattern HANDLE = Pattern.compile("\"(127\\.0\\.0\\.1:\\d+/[0-9a-f]+)\"");
    private static final AtomicLong NEXT_HANDLE = new AtomicLong(0x5c1e07a2);

    /** What a result was made for: attempt, stage and piece. */
    record Made(String attempt, int stage, int piece) {}

    /** Results of all stage servers that can still be read, by handle. */
    static final Map<String, Made> RESULTS = new ConcurrentHashMap<>();

    private final Record record;
    private final String id;
    private final int callMillis;
    private final ReentrantLock worker = new ReentrantLock(true);
    private final AtomicInteger waiting = new AtomicInteger();
    private final Map<Socket, String> extraAnswers = new ConcurrentHashMap<>();

    StageServer(Record record, String id, int callMillis) throws IOException {
        this.record = record;
        this.id = id;
        this.callMillis = callMillis;
    }

    /** Returns whether the answer to a call is sent a second time, at the point where the next answer is due. */
    boolean sendsTwice() {
        return false;
    }

    @Override
    boolean answer(Message request, Socket socket) throws IOException, InterruptedException {
        String extra = extraAnswers.remove(socket);
        if (extra != null) {
            record.line("%s sends its last answer again, where the answer to %s is due", id, request.startLine);
            write(socket, extra);
        }
        String named = request.header("X-Masticfold-Target-Instance");
        if (!named.isEmpty() && !named.equals(id)) {
            write(socket, 421, "X-Masticfold-Instance-Id: " + id + "\r\n", "");
            return true;
        }
        if (request.target().equals("/-/stage-run")) {
            run(request, socket);
        } else if (request.target().equals("/-/stage-free")) {
            Matcher handles = HANDLE.matcher(request.text());
            while (handles.find()) {
                RESULTS.remove(handles.group(1));
            }
            write(socket, 200, "Content-Type: application/json\r\n", "{}");
        } else {
            write(
                    socket,
                    200,
                    "Content-Type: application/json\r\n",
                    "{\"waiting\":" + Math.max(0, waiting.get() - 1) + ",\"busy\":" + worker.isLocked()
                            + ",\"free_mb\":27.0}");
        }
        return true;
    }

    private void run(Message request, Socket socket) throws IOException, InterruptedException {
        if (waiting.incrementAndGet() > 3) {
            waiting.decrementAndGet();
            write(socket, 503, "X-Masticfold-Not-Executed: 1\r\n", "");
            return;
        }
        List<String> items = new ArrayList<>();
        worker.lock();
        try {
            Thread.sleep(callMillis);
            Matcher item = ITEM.matcher(request.text());
            while (item.find()) {
                String handle = address() + "/" + Long.toHexString(NEXT_HANDLE.incrementAndGet());
                Made made = new Made(item.group(1), Integer.parseInt(item.group(2)), Integer.parseInt(item.group(3)));
                RESULTS.put(handle, made);
                items.add("{\"handle\":\"" + handle + "\"}");
                record.line("%s makes %s for %s", id, handle, made);
            }
        } finally {
            worker.unlock();
            waiting.decrementAndGet();
        }
        String body = "{\"items\":[" + String.join(",", items) + "]}";
        String answer = "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nX-Masticfold-Server-Load: 0,0,1\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        write(socket, answer);
        if (sendsTwice()) {
            extraAnswers.put(socket, answer);
        }
    }
}
