package org.sageladder.forward.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which entry VMs a directory contains. */
class EntryDirectoryTest {
  private static EntryVm vm(String name) {
    return new EntryVm(name, "z", "r", name + ":1", name + ":2", "", 0, true);
  }

  /** Guards against a VM whose registration lapsed and that coordinates quotas beside another. */
  @Test
  void registeredNamesLackThisVmWhileItsRegistrationHasLapsed() {
    EntryDirectory directory = EntryDirectory.of(vm("e-1"));
    assertEquals(List.of("e-1"), List.copyOf(directory.registeredNames()));
    directory.add(vm("e-1"));
    directory.add(vm("e-2"));
    assertEquals(List.of("e-1", "e-2"), List.copyOf(directory.registeredNames()));
    directory.remove("e-1");
    assertEquals(List.of("e-2"), List.copyOf(directory.registeredNames()));
    assertTrue(directory.liveVms().contains(vm("e-1")));
  }
}
