package org.sageladder.forward.control;

import java.util.List;

/**
 * Some items, in the order of the store.
 *
 * @param hasMore true where a read has further pages
 * @param asOfRevision the store's revision when it answered
 */
public record StorePage(List<StoreItem> items, boolean hasMore, long asOfRevision) {}
