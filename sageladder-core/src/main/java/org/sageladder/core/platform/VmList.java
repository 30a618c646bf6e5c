package org.sageladder.core.platform;

import java.util.List;
import org.sageladder.core.store.StoreException;

/** The platform's list of VMs that are running or about to stop. It lags by seconds. */
@FunctionalInterface
public interface VmList {
  /** Fetches the current list; counts as one call to the platform. */
  List<ListedVm> fetch() throws StoreException;
}
