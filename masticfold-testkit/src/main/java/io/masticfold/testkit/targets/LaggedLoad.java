package io.masticfold.testkit.targets;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Reports a load that may be some time old. Not safe for several threads. */
final class LaggedLoad {

    private final LongSupplier nowMillis;
    private final long lagMillis;
    private final Supplier<ObjectNode> current;
    private @Nullable ObjectNode sample;
    private long sampledMillis;

    LaggedLoad(LongSupplier nowMillis, long lagMillis, Supplier<ObjectNode> current) {
        this.nowMillis = nowMillis;
        this.lagMillis = lagMillis;
        this.current = current;
    }

    ObjectNode report() {
        long now = nowMillis.getAsLong();
        ObjectNode report = sample;
        if (report == null || now - sampledMillis >= lagMillis) {
            report = current.get();
            sample = report;
            sampledMillis = now;
        }
        return report.put("ageMillis", now - sampledMillis);
    }
}
