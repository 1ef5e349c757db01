// Reads the operator's configuration files from disk. Only this file of sagecrankctl accesses the file
// system.
#pragma once

#include <Ctl/Arguments.h>
#include <LibConfig/SourceFiles.h>
#include <LibCore/Error.h>

namespace Sagecrank {

struct LocalFiles
{
    SourceFile base;
    std::vector<SourceFile> overlays; // Sorted by name within a folder.
};

// Fails with NotFound, which names the file or folder, if one cannot be read.
Result<LocalFiles> readLocalFiles(const Arguments &arguments);

} // namespace Sagecrank
