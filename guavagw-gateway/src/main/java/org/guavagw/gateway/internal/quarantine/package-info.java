/** Keeps requests away from backend servers that they, or parts of their prompts, have ended. */
package org.guavagw.gateway.internal.quarantine;
