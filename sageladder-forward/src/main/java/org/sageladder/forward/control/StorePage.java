package org.sageladder.forward.control;

import java.util.List;

/**
 * Some items, in the order of the store.
 *
 * @param more true where a read has further pages
 * @param asOf the store's revision when it answered
 */
public record StorePage(List<StoreItem> items, boolean more, long asOf) {}
