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
public final class LookUps {
  /** Most VMs that an answer names. */
  private static final int MOST = 64;

  private static final int FEWEST = 2;

  private final EntryVm self;
  private final Map<String, EntryVm> live = new TreeMap<>();
  private boolean leaving;

  private LookUps(EntryVm self) {
    this.self = self;
  }

  /** Look-ups that know of {@code self} only. */
  public static LookUps of(EntryVm self) {
    return new LookUps(self);
  }

  /** An entry VM is live. */
  public void joined(EntryVm vm) {
    live.put(vm.name(), vm);
  }

  /** An entry VM is gone. */
  public void left(String name) {
    live.remove(name);
  }

  /** This VM stops: it is named no more. */
  public void leave() {
    leaving = true;
  }

  /** The live entry VMs, this one among them unless it is leaving. */
  public Collection<EntryVm> live() {
    Map<String, EntryVm> all = new TreeMap<>(live);
    if (leaving) {
      all.remove(self.name());
    } else {
      all.put(self.name(), self);
    }
    return all.values();
  }

  /** Addresses for a caller in that zone and region; empty where no entry VM is live. */
  public List<String> addresses(String zone, String region) {
    List<EntryVm> named = new ArrayList<>();
    addUntilEnough(named, vm -> vm.zone().equals(zone));
    addUntilEnough(named, vm -> vm.region().equals(region));
    if (named.isEmpty()) {
      addUntilEnough(named, vm -> true);
    }
    return named.stream().map(EntryVm::address).limit(MOST).toList();
  }

  private void addUntilEnough(List<EntryVm> named, Predicate<EntryVm> fits) {
    if (named.size() >= FEWEST) {
      return;
    }
    for (EntryVm vm : live()) {
      if (fits.test(vm) && !named.contains(vm)) {
        named.add(vm);
      }
    }
  }
}
