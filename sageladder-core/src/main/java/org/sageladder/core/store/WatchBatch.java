package org.sageladder.core.store;

import java.util.List;

/**
 * Changes that a watch saw.
 *
 * @param changed latest values of keys written since, ordered by revision
 * @param deleted keys deleted since
 * @param nextRevision pass this to the next watch
 */
public record WatchBatch(List<StoredValue> changed, List<String> deleted, long nextRevision) {}
