package io.masticfold.core.gate;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Target that records every execution and ends calls only on request of the test. */
final class FakeTarget implements TargetClient {

    private final Map<AttemptId, TargetListener> openCalls = new LinkedHashMap<>();
    private final List<AttemptId> executions = new ArrayList<>();
    private final List<AttemptId> cancelled = new ArrayList<>();
    private final List<Duration> budgets = new ArrayList<>();
    private Consumer<StageDispatch> onCall = _dispatch -> {};
    private int grantedBytes;

    /** Sets a check to run on each call. */
    void onCall(Consumer<StageDispatch> check) {
        onCall = check;
    }

    @Override
    public TargetCall call(StageDispatch dispatch, Duration budget, TargetListener listener) {
        executions.add(dispatch.attempt());
        budgets.add(budget);
        openCalls.put(dispatch.attempt(), listener);
        onCall.accept(dispatch);
        return new FakeCall(dispatch.attempt());
    }

    List<AttemptId> executions() {
        return executions;
    }

    List<AttemptId> openCalls() {
        return List.copyOf(openCalls.keySet());
    }

    /** Discards the open calls without a response, as if the calling agent had crashed. */
    void discardOpenCalls() {
        openCalls.clear();
    }

    List<AttemptId> cancelled() {
        return cancelled;
    }

    List<Duration> budgets() {
        return budgets;
    }

    int grantedBytes() {
        return grantedBytes;
    }

    TargetListener listener(AttemptId attempt) {
        return openCalls.get(attempt);
    }

    void complete(AttemptId attempt, String result) {
        openCalls.remove(attempt).completed(Payload.ofUtf8(result));
    }

    void fail(AttemptId attempt, ErrorKind kind, Ran ran) {
        openCalls.remove(attempt).failed(kind, ran);
    }

    private final class FakeCall implements TargetCall {

        private final AttemptId attempt;

        FakeCall(AttemptId attempt) {
            this.attempt = attempt;
        }

        @Override
        public void cancel() {
            cancelled.add(attempt);
            if (openCalls.containsKey(attempt)) {
                fail(attempt, ErrorKind.CANCELLED, Ran.UNKNOWN);
            }
        }

        @Override
        public void grant(int bytes) {
            grantedBytes += bytes;
        }
    }
}
