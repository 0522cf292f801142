package io.masticfold.platform.store;

import io.activej.http.HttpMethod;
import io.masticfold.platform.event.PlatformEvent;
import io.masticfold.platform.http.HttpCall;
import io.masticfold.platform.http.HttpResult;
import java.io.IOException;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Maps HTTP results of the object API to store replies. */
final class StoreResponseMapper {

    private static final Logger LOG = LoggerFactory.getLogger(StoreResponseMapper.class);

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private StoreResponseMapper() {}

    /** Returns whether the store is reachable, that is, responded with a status other than a server error. */
    static boolean isReachable(HttpResult result) {
        return result instanceof HttpResult.Answered answered && answered.status() < SERVER_ERROR;
    }

    static StoreReply toStoreReply(HttpCall call, HttpResult.Answered answered) {
        try {
            return switch (answered.status()) {
                case OK -> successReply(call, answered.body());
                case NOT_FOUND -> new StoreReply.Absent();
                case CONFLICT -> new StoreReply.Conflict(currentObject(answered.body()));
                case TOO_MANY_REQUESTS, UNAVAILABLE ->
                    new StoreReply.Unavailable(answered.retryAfter(), "answered " + answered.status());
                default -> errorReply(answered);
            };
        } catch (IOException e) {
            PlatformEvent.STORE_ANSWER_MALFORMED.log(LOG, call, e.getMessage());
            return new StoreReply.Lost("malformed answer: " + e.getMessage());
        }
    }

    static PageReply toPageReply(HttpCall call, HttpResult result) {
        if (result instanceof HttpResult.NotSent notSent) {
            return new PageReply.Unavailable(DEFAULT_RETRY_AFTER, notSent.reason());
        } else if (result instanceof HttpResult.Lost lost) {
            return new PageReply.Unavailable(DEFAULT_RETRY_AFTER, lost.reason());
        }
        HttpResult.Answered answered = (HttpResult.Answered) result;
        if (answered.status() == GONE) {
            return new PageReply.Compacted();
        } else if (answered.status() != OK) {
            return new PageReply.Unavailable(answered.retryAfter(), "answered " + answered.status());
        }
        try {
            return EnvelopeCodec.page(answered.body());
        } catch (IOException e) {
            PlatformEvent.STORE_ANSWER_MALFORMED.log(LOG, call, e.getMessage());
            return new PageReply.Unavailable(DEFAULT_RETRY_AFTER, "malformed answer: " + e.getMessage());
        }
    }

    static String counterName(StoreReply reply) {
        if (reply instanceof StoreReply.Conflict) {
            return "store_conflict";
        } else if (reply instanceof StoreReply.Unavailable) {
            return "store_unavailable";
        } else if (reply instanceof StoreReply.Lost) {
            return "store_lost";
        }
        return reply instanceof StoreReply.Refused ? "store_refused" : "store_answered";
    }

    private static StoreReply successReply(HttpCall call, String body) throws IOException {
        return call.method() == HttpMethod.GET
                ? new StoreReply.Found(EnvelopeCodec.object(body))
                : new StoreReply.Written(EnvelopeCodec.version(body));
    }

    private static StoreReply errorReply(HttpResult.Answered answered) {
        // After a server error other than 503 it is unknown whether a write took effect.
        return answered.status() >= SERVER_ERROR
                ? new StoreReply.Lost("answered " + answered.status())
                : new StoreReply.Refused(answered.status(), answered.body());
    }

    private static @Nullable StoredObject currentObject(String body) throws IOException {
        String text = body.trim();
        return text.isEmpty() || "null".equals(text) || "{}".equals(text) ? null : EnvelopeCodec.object(text);
    }
}
