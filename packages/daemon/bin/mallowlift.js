#!/usr/bin/env node
const { bootDaemon } = require("@mallowlift/boot");
void bootDaemon(() => require("../dist/main.js").runMain);
