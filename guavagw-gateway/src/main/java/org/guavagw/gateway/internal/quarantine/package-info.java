/** Keeps requests away from backend servers whose prompts have ended such servers. */
package org.guavagw.gateway.internal.quarantine;
