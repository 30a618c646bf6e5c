package org.sageladder.platform.contract;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.store.StoredValue;
import org.sageladder.platform.settings.SettingsDocument;
import org.sageladder.platform.settings.SettingsException;

/**
 * A contract as the platform's store keeps it under {@code contracts/<customer>}.
 *
 * @param changeId unique for each write, so that a writer whose answer was lost can tell by reading
 *     back whether its own write took effect
 * @param author operator who made the change
 */
public record StoredContract(String changeId, String author, Contract contract) {
  /** Keys of contracts in the store start with this. */
  public static final String KEY_PREFIX = "contracts/";

  /** The store's key of that customer's contract. */
  public static String keyOf(String customer) {
    return KEY_PREFIX + customer;
  }

  /** The value to store: YAML text in UTF-8. */
  public byte[] toBytes() {
    ObjectNode tree = JsonNodeFactory.instance.objectNode();
    tree.put("changeId", changeId).put("author", author);
    tree.set("contract", ContractFormat.tree(contract));
    return ContractFormat.yaml(tree).getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Reads a stored value; the contract's revision is that of the stored value.
   *
   * @throws SettingsException where the value is not a stored contract
   */
  public static StoredContract fromStored(StoredValue stored) throws SettingsException {
    String yaml = new String(stored.value(), StandardCharsets.UTF_8);
    var root = SettingsDocument.parse(stored.key(), yaml).root("changeId", "author", "contract");
    Contract contract = ContractYaml.read(root.section("contract", ContractYaml.contractKeys()));
    return new StoredContract(
        root.text("changeId"), root.text("author"), contract.atRevision(stored.revision()));
  }
}
