package io.masticfold.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Map by text that drops the entry used least recently when it is full. */
public final class LeastRecentlyUsedMap<V> extends LinkedHashMap<String, V> {

    private static final long serialVersionUID = 1;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxSize;

    /** Creates an empty map. */
    public LeastRecentlyUsedMap(int maxSize) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.maxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, V> _eldest) {
        return size() > maxSize;
    }
}
