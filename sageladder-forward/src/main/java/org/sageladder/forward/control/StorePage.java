package org.sageladder.forward.control;

import java.util.List;

/**
 * A page of items, in the order of the store.
 *
 * @param hasMore true if a read has further pages
 * @param asOfRevision the store's revision at the time of its response
 */
public record StorePage(List<StoreItem> items, boolean hasMore, long asOfRevision) {}
