package org.sageladder.forward.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Selects the entry VMs that a caller is to use: those of its zone, then of its region, then all.
 *
 * <p>A VM that reaches no target is left out if at least two others in the caller's region reach
 * some.
 *
 * <p>A caller caches the addresses for seconds and cannot reach a VM that died in the meantime, so
 * at least two VMs are named if there are two.
 */
public final class EntryDirectory {
  /** Maximum number of addresses per look-up. */
  private static final int MAX_ADDRESSES = 64;

  private static final int MIN_ADDRESSES = 2;

  private final EntryVm self;
  private final Map<String, EntryVm> registeredVms = new TreeMap<>();
  private BooleanSupplier ownReachability = () -> true;
  private boolean isStopping;

  private EntryDirectory(EntryVm self) {
    this.self = self;
  }

  /** Creates a directory that contains only {@code self}. */
  public static EntryDirectory of(EntryVm self) {
    return new EntryDirectory(self);
  }

  /** Adds a live entry VM. */
  public void add(EntryVm vm) {
    registeredVms.put(vm.name(), vm);
  }

  /** Removes an entry VM. */
  public void remove(String name) {
    registeredVms.remove(name);
  }

  /** Sets the check whether this VM reaches targets. */
  public void setOwnReachability(BooleanSupplier check) {
    ownReachability = check;
  }

  /** Excludes this VM from look-ups, since it stops. */
  public void excludeSelf() {
    isStopping = true;
  }

  /** The live entry VMs, including this one unless it is stopping. */
  public Collection<EntryVm> liveVms() {
    Map<String, EntryVm> all = new TreeMap<>(registeredVms);
    if (isStopping) {
      all.remove(self.name());
    } else {
      all.put(self.name(), self.withReachesTargets(ownReachability.getAsBoolean()));
    }
    return all.values();
  }

  /**
   * Names of the entry VMs that all VMs know from the store. Unlike {@link #liveVms}, it does not
   * contain this VM while its registration has lapsed, unless no VM is registered.
   */
  public Collection<String> registeredNames() {
    Set<String> names = new TreeSet<>(registeredVms.keySet());
    if (isStopping) {
      names.remove(self.name());
    }
    return names.isEmpty() ? Set.of(self.name()) : names;
  }

  /** Addresses for a caller in that zone and region; empty if no entry VM is live. */
  public List<String> addresses(String zone, String region) {
    List<EntryVm> chosen = new ArrayList<>();
    addIfTooFew(chosen, vm -> vm.zone().equals(zone) && vm.reachesTargets());
    addIfTooFew(chosen, vm -> vm.region().equals(region) && vm.reachesTargets());
    addIfTooFew(chosen, vm -> vm.region().equals(region));
    if (chosen.isEmpty()) {
      addIfTooFew(chosen, vm -> true);
    }
    return chosen.stream().map(EntryVm::address).limit(MAX_ADDRESSES).toList();
  }

  private void addIfTooFew(List<EntryVm> chosen, Predicate<EntryVm> filter) {
    if (chosen.size() >= MIN_ADDRESSES) {
      return;
    }
    for (EntryVm vm : liveVms()) {
      if (filter.test(vm) && !chosen.contains(vm)) {
        chosen.add(vm);
      }
    }
  }
}
