package org.sageladder.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Assignment of API keys to workspaces. */
class ApiKeysTest {
  private static Workspace workspace(String name) {
    return new Workspace(name, OptionalInt.empty(), Quota.unlimited(), Set.of());
  }

  @Test
  void eachKeyBelongsToItsWorkspace() {
    ApiKeys keys =
        ApiKeys.builder()
            .add(workspace("choir"), List.of("k1", "k2"))
            .add(workspace("museum"), List.of("k3"))
            .build();
    assertTrue(keys.areRequired());
    assertEquals("choir", keys.workspaceOf("k2").orElseThrow().name());
    assertEquals("museum", keys.workspaceOf("k3").orElseThrow().name());
    assertTrue(keys.workspaceOf("K3").isEmpty());
  }

  @Test
  void withoutWorkspacesNoKeyIsNeeded() {
    assertFalse(ApiKeys.none().areRequired());
  }

  /**
   * Guards against a key of two workspaces: it would be undefined to which one its requests belong.
   */
  @Test
  void sharedKeyIsRejectedWithoutQuotingIt() {
    ApiKeys.Builder keys = ApiKeys.builder().add(workspace("choir"), List.of("secret"));
    IllegalArgumentException refused =
        assertThrows(
            IllegalArgumentException.class, () -> keys.add(workspace("museum"), List.of("secret")));
    assertFalse(refused.getMessage().contains("secret"));
  }

  @Test
  void toStringShowsNoKey() {
    ApiKeys keys = ApiKeys.builder().add(workspace("choir"), List.of("secret")).build();
    assertFalse((keys + " " + keys.workspaces()).contains("secret"));
  }

  @Test
  void invalidQuotaIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> new Quota(-1, 0));
    assertThrows(IllegalArgumentException.class, () -> new Quota(1, Double.NaN));
  }
}
