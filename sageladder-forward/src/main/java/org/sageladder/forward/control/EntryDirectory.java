package org.sageladder.forward.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Answers which entry VMs a caller is to use: those of its zone, then of its region, then all.
 *
 * <p>A caller keeps an answer for seconds and cannot reach a VM that died meanwhile, so an answer
 * names two VMs at least where there are two.
 */
public final class EntryDirectory {
  /** Most VMs that an answer names. */
  private static final int MAX_ADDRESSES = 64;

  private static final int MIN_ADDRESSES = 2;

  private final EntryVm self;
  private final Map<String, EntryVm> registeredVms = new TreeMap<>();
  private boolean isLeaving;

  private EntryDirectory(EntryVm self) {
    this.self = self;
  }

  /** Look-ups that know of {@code self} only. */
  public static EntryDirectory of(EntryVm self) {
    return new EntryDirectory(self);
  }

  /** An entry VM is live. */
  public void add(EntryVm vm) {
    registeredVms.put(vm.name(), vm);
  }

  /** An entry VM is gone. */
  public void remove(String name) {
    registeredVms.remove(name);
  }

  /** This VM stops: it is named no more. */
  public void excludeSelf() {
    isLeaving = true;
  }

  /** The live entry VMs, this one among them unless it is leaving. */
  public Collection<EntryVm> liveVms() {
    Map<String, EntryVm> all = new TreeMap<>(registeredVms);
    if (isLeaving) {
      all.remove(self.name());
    } else {
      all.put(self.name(), self);
    }
    return all.values();
  }

  /** Addresses for a caller in that zone and region; empty where no entry VM is live. */
  public List<String> addresses(String zone, String region) {
    List<EntryVm> named = new ArrayList<>();
    addIfTooFew(named, vm -> vm.zone().equals(zone));
    addIfTooFew(named, vm -> vm.region().equals(region));
    if (named.isEmpty()) {
      addIfTooFew(named, vm -> true);
    }
    return named.stream().map(EntryVm::address).limit(MAX_ADDRESSES).toList();
  }

  private void addIfTooFew(List<EntryVm> named, Predicate<EntryVm> fits) {
    if (named.size() >= MIN_ADDRESSES) {
      return;
    }
    for (EntryVm vm : liveVms()) {
      if (fits.test(vm) && !named.contains(vm)) {
        named.add(vm);
      }
    }
  }
}
