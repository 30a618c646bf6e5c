package org.sageladder.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The API keys of one version of the configuration, and the workspace that holds each.
 *
 * <pre>{@code
 * ApiKeys keys = ApiKeys.builder().add(workspace, List.of("k1", "k2")).build();
 * keys.workspace("k1"); // the workspace, or empty where nobody holds the key
 * }</pre>
 *
 * <p>Keys are secrets: no text of this class, its errors included, contains one.
 */
public final class ApiKeys {
  private static final ApiKeys NONE = new ApiKeys(Map.of(), Map.of());

  private final Map<String, Workspace> byName;
  private final Map<String, Workspace> byKey;

  private ApiKeys(Map<String, Workspace> byName, Map<String, Workspace> byKey) {
    this.byName = byName;
    this.byKey = byKey;
  }

  /** A configuration without workspaces: requests carry no key. */
  public static ApiKeys none() {
    return NONE;
  }

  /** Collects the workspaces of a configuration. */
  public static Builder builder() {
    return new Builder();
  }

  /** True where a request has to carry a key, unless its route is anonymous. */
  public boolean areRequired() {
    return !byName.isEmpty();
  }

  /** The workspace that holds {@code key}. */
  public Optional<Workspace> workspaceOf(String key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** The workspaces by name. */
  public Map<String, Workspace> workspaces() {
    return byName;
  }

  @Override
  public String toString() {
    return byKey.size() + " keys of " + byName.size() + " workspaces";
  }

  /** Workspaces and keys, checked one by one. */
  public static final class Builder {
    private final Map<String, Workspace> byName = new LinkedHashMap<>();
    private final Map<String, Workspace> byKey = new HashMap<>();

    private Builder() {}

    /**
     * Adds a workspace and the keys that it holds.
     *
     * @throws IllegalArgumentException where the name is taken, or a key is empty or held by
     *     another workspace
     */
    public Builder add(Workspace workspace, List<String> keys) {
      if (byName.putIfAbsent(workspace.name(), workspace) != null) {
        throw new IllegalArgumentException("two workspaces are named " + workspace.name());
      }
      for (String key : keys) {
        addKey(workspace, key);
      }
      return this;
    }

    private void addKey(Workspace workspace, String key) {
      if (key.isEmpty()) {
        throw new IllegalArgumentException("a key of workspace " + workspace.name() + " is empty");
      }
      Workspace holder = byKey.putIfAbsent(key, workspace);
      if (holder != null && !holder.equals(workspace)) {
        throw new IllegalArgumentException(
            "workspaces " + holder.name() + " and " + workspace.name() + " hold the same key");
      }
    }

    /** The keys added so far. */
    public ApiKeys build() {
      return new ApiKeys(Map.copyOf(byName), Map.copyOf(byKey));
    }
  }
}
