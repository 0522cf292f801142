package io.masticfold.gateway.http;

import io.masticfold.core.memory.MemoryAccount;
import io.masticfold.core.time.TimeSource;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/** Sends requests with the client under test to a server that answers each connection as a test says. */
final class SentResponse implements AutoCloseable {

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client;
    private final ServerSocket server;
    private final Answer answer;

    /** Answers on a connection from which nothing has been read. */
    interface Answer {
        void answer(Socket socket) throws IOException, InterruptedException;
    }

    SentResponse(Answer answer) throws IOException {
        this(CallerMemory.accountOfProcess(), answer);
    }

    /**
     * Starts the server.
     *
     * @param account counts the memory of the responses
     */
    SentResponse(MemoryAccount account, Answer answer) throws IOException {
        this.client = new HttpClient(group, TimeSource.system(), account);
        this.answer = answer;
        this.server = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket accepted) {
        try (Socket socket = accepted) {
            answer.answer(socket);
        } catch (IOException | InterruptedException e) {
            // The client has closed the connection; its listener has the result.
        }
    }

    static void readHead(InputStream in) throws IOException {
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed within the head of the request");
            }
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
        }
    }

    /** Returns status and body of the response, or the name of the failure. */
    CompletableFuture<String> send(byte[] body) {
        CompletableFuture<String> result = new CompletableFuture<>();
        InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, "a.example");
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        group.execute(() -> client.send(address, request, ConnectionChoice.FRESH, new Listener(result)));
        return result;
    }

    /** Returns the memory that is reserved for responses, in bytes. */
    long reservedBytes() throws InterruptedException, ExecutionException {
        return group.submit(() -> client.responseMemory().reservedBytes()).get();
    }

    @Override
    public void close() throws IOException {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static final class Listener implements ExchangeListener {

        private final CompletableFuture<String> result;
        private final StringBuilder body = new StringBuilder();
        private int status;

        Listener(CompletableFuture<String> result) {
            this.result = result;
        }

        @Override
        public void head(HttpResponse response, boolean _firstOnConnection) {
            status = response.status().code();
        }

        @Override
        public void content(ByteBuf bytes) {
            body.append(bytes.toString(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void readComplete() {}

        @Override
        public void end() {
            result.complete(status + " " + body);
        }

        @Override
        public void failed(ExchangeFailure failure, String _detail) {
            result.complete(failure.name());
        }
    }
}
