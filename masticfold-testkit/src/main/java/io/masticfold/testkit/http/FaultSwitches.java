package io.masticfold.testkit.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;

/**
 * Holds the values of the fault switches of a stand-in. Confined to the event loop of the stand-in.
 *
 * @param <F> type of the switches
 */
public final class FaultSwitches<F extends Enum<F> & Fault> {

    /** Value of a counting switch that stays on. */
    public static final long ALWAYS = -1;

    private final Class<F> type;
    private final Map<F, Long> values;

    /** Creates the switches, all without effect. */
    public FaultSwitches(Class<F> type) {
        this.type = type;
        this.values = new EnumMap<>(type);
        reset();
    }

    /** Sets all switches to no effect. */
    public void reset() {
        for (F fault : type.getEnumConstants()) {
            values.put(fault, fault.initial());
        }
    }

    /** Sets a switch. */
    public void set(F fault, long value) {
        values.put(fault, value);
    }

    /** Returns the value of a switch. */
    public long value(F fault) {
        return values.get(fault);
    }

    /** Returns whether a switch differs from no effect. */
    public boolean on(F fault) {
        return value(fault) != fault.initial();
    }

    /** Takes one from a counting switch and returns whether the fault applies to the current call. */
    public boolean take(F fault) {
        long left = value(fault);
        if (left > 0) {
            values.put(fault, left - 1);
        }
        return left != 0;
    }

    /**
     * Finds a switch.
     *
     * @param code name of the switch
     * @throws IllegalArgumentException if there is no such switch
     */
    public F find(String code) {
        return Arrays.stream(type.getEnumConstants())
                .filter(fault -> fault.code().equals(code))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown fault switch: '" + code + "'"));
    }

    /** Returns the values as a JSON object. */
    public ObjectNode json() {
        ObjectNode node = JsonSupport.object();
        values.forEach((fault, value) -> node.put(fault.code(), value));
        return node;
    }
}
