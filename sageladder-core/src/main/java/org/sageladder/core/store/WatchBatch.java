package org.sageladder.core.store;

import java.util.List;

/**
 * Changes returned by a watch.
 *
 * @param changed latest values of keys written since, ordered by revision
 * @param deleted keys deleted since
 * @param nextRevision revision to pass to the next watch
 */
public record WatchBatch(List<StoredValue> changed, List<String> deleted, long nextRevision) {}
