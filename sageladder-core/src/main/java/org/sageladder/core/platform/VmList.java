package org.sageladder.core.platform;

import java.util.List;
import org.sageladder.core.store.StoreException;

/** The platform's list of live and leaving VMs, which lags behind the truth by seconds. */
@FunctionalInterface
public interface VmList {
  /** The list as the platform has it now; counts as one call. */
  List<ListedVm> fetch() throws StoreException;
}
